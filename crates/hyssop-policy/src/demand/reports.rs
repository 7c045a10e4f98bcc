use super::{Plan, Queue};
use hyssop_model::prelude::*;
use hyssop_wire::demand;

/// The latest demand report of each entry, by pool.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    pools: BTreeMap<String, BTreeMap<entry::Id, demand::Pool>>,
}

impl Reports {
    /// Records the demand of `from`.
    pub fn insert(&mut self, from: entry::Id, pool: demand::Pool) {
        let reports = self.pools.entry(pool.pool.clone()).or_default();
        reports.insert(from, pool);
    }

    /// Removes the reports of entries that are not in `members`.
    pub fn retain(&mut self, members: &BTreeSet<entry::Id>) {
        for reports in self.pools.values_mut() {
            reports.retain(|id, _| members.contains(id));
        }
    }

    /// Returns the division of `total` slots of a pool, as seen from entry `own`.
    pub fn plan(&self, own: entry::Id, pool: &str, total: u32, queues: &[Queue]) -> Plan {
        match self.pools.get(pool) {
            None => Plan::default(),
            Some(reports) => Plan::divide(own, total, queues, reports),
        }
    }

    /// Returns how many of its `spare` slots entry `own` should lend to `peer`.
    ///
    /// Each lender covers the peer's deficit in proportion to its part of all spare slots.
    pub fn slots_to_lend(
        &self,
        own: entry::Id,
        peer: entry::Id,
        pool: &str,
        plan: &Plan,
        spare: u32,
    ) -> u32 {
        let Some(reports) = self.pools.get(pool) else {
            return 0;
        };
        let deficit = reports
            .get(&peer)
            .map_or(0.0, |report| deficit(plan, peer, report));
        let others = reports.iter().filter(|(id, _)| **id != own);
        let other_spare: f64 = others.map(|(id, report)| surplus(plan, *id, report)).sum();
        let fraction = f64::from(spare) / (other_spare + f64::from(spare)).max(1.0);
        (deficit * fraction).ceil() as u32
    }

    /// Returns the number of requests of a pool that wait or are in flight, at all entries.
    pub fn outstanding(&self, pool: &str) -> u32 {
        let reports = self.pools.get(pool).into_iter().flat_map(BTreeMap::values);
        let flows = reports.flat_map(|report| &report.flows);
        flows
            .map(|flow| flow.in_flight + flow.waiting.iter().sum::<u32>())
            .sum()
    }
}

/// Returns the slots that an entry has beyond its fair share.
fn surplus(plan: &Plan, id: entry::Id, report: &demand::Pool) -> f64 {
    let fair_share = plan.entries.get(&id).copied().unwrap_or(0.0);
    (f64::from(report.usable) - fair_share).max(0.0)
}

/// Returns the slots that an entry lacks to its fair share, at most the number of its waiting
/// requests.
fn deficit(plan: &Plan, id: entry::Id, report: &demand::Pool) -> f64 {
    let fair_share = plan.entries.get(&id).copied().unwrap_or(0.0);
    let waiting: u32 = report.flows.iter().flat_map(|flow| flow.waiting).sum();
    (fair_share - f64::from(report.usable))
        .min(f64::from(waiting))
        .max(0.0)
}
