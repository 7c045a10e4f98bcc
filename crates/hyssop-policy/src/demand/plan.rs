use crate::share::{max_min, Claim};
use hyssop_model::prelude::*;
use hyssop_wire::demand;

/// Is one queue of a pool with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The queue's share of the pool, relative to the others.
    pub weight: f64,
}

/// Says how a pool's slots are divided, first between queues, then between entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The slots due to each entry for its demand.
    pub entries: BTreeMap<entry::Id, f64>,
    /// The slots due to each queue at the entry that asked.
    pub queues: BTreeMap<String, f64>,
}

impl Plan {
    /// Divides `total` slots between the entries' demands of a pool.
    ///
    /// Queues share by weighted max-min over the sum of all entries' demand; what a queue gets is
    /// divided between entries by their part of its demand.
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
                let part = share * demand_of(pool, &queue.name) / claim.demand;
                *plan.entries.entry(*id).or_default() += part;
                if *id == own {
                    plan.queues.insert(queue.name.clone(), part);
                }
            }
        }
        plan
    }
}

/// Returns how many slots a queue could use.
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
