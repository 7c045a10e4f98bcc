use crate::share::{max_min, Claim};
use hyssop_model::prelude::*;
use hyssop_wire::demand;

/// A queue of a pool and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The queue's share of the pool, relative to the other queues.
    pub weight: f64,
}

/// Division of a pool's slots, first between queues, then between entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The fair share of each entry, in slots.
    pub entries: BTreeMap<entry::Id, f64>,
    /// The share of each queue at this entry, in slots.
    pub queues: BTreeMap<String, f64>,
}

impl Plan {
    /// Divides `total` slots of a pool by the demand of all entries, as seen from entry `own`.
    ///
    /// The queues get weighted max-min fair shares of the slots for their demand at all entries.
    /// The share of a queue is divided between the entries in proportion to their demand.
    pub fn divide(
        own: entry::Id,
        total: u32,
        queues: &[Queue],
        reports: &BTreeMap<entry::Id, demand::Pool>,
    ) -> Self {
        let claims: Vec<Claim> = queues
            .iter()
            .map(|queue| Claim {
                demand: reports
                    .values()
                    .map(|pool| demand_of(pool, &queue.name))
                    .sum(),
                weight: queue.weight,
            })
            .collect();
        let shares = max_min(f64::from(total), &claims);
        let mut plan = Self::default();
        for ((queue, claim), share) in queues.iter().zip(&claims).zip(&shares) {
            if claim.demand == 0.0 {
                continue;
            }
            for (id, pool) in reports {
                let entry_share = share * demand_of(pool, &queue.name) / claim.demand;
                *plan.entries.entry(*id).or_default() += entry_share;
                if *id == own {
                    plan.queues.insert(queue.name.clone(), entry_share);
                }
            }
        }
        plan
    }
}

/// Returns the number of slots that a queue can use: its requests that wait or are in flight.
fn demand_of(pool: &demand::Pool, queue: &str) -> f64 {
    let flow = pool.flows.iter().find(|flow| flow.queue == queue);
    flow.map_or(0.0, |flow| {
        f64::from(flow.in_flight)
            + flow
                .waiting
                .iter()
                .map(|count| f64::from(*count))
                .sum::<f64>()
    })
}
