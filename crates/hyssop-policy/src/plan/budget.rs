use super::{Draft, View};
use hyssop_model::instance::State;
use hyssop_model::prelude::*;
use snafu::Snafu;

/// Says why a disruption is not permitted now.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The pool would go below its budget.
    #[snafu(display(
        "pool {pool} would have {left} healthy instances serving, below its budget of {budget}; it waits for others \
         to return"
    ))]
    Budget {
        /// The pool.
        pool: String,
        /// The healthy serving instances left.
        left: u32,
        /// The budget.
        budget: u32,
    },
    /// The pool would not survive the loss of a rack.
    #[snafu(display(
        "pool {pool} would have {left} healthy instances serving after the loss of {racks} racks, below its budget of \
         {budget}; it waits for others to return"
    ))]
    Racks {
        /// The pool.
        pool: String,
        /// The racks that may be lost.
        racks: u32,
        /// The healthy serving instances left after their loss.
        left: u32,
        /// The budget.
        budget: u32,
    },
    /// The pool's callers need the instance now.
    #[snafu(display(
        "pool {pool} would have {left} healthy instances serving, and its demand keeps {busy} busy; it waits for the \
         demand to fall or for others to return"
    ))]
    Demand {
        /// The pool.
        pool: String,
        /// The healthy serving instances left.
        left: u32,
        /// The instances that the sustained demand keeps busy.
        busy: u32,
    },
    /// The pool is not in the configuration.
    #[snafu(display("pool {pool} is not in the configuration; add it with `hyssopctl apply`"))]
    UnknownPool {
        /// The pool.
        pool: String,
    },
}

/// Is a pool's availability budget with what is left of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The healthy serving instances by rack, without those that disruptions or failures took.
    by_rack: BTreeMap<String, u32>,
}

impl Budget {
    /// Counts the healthy serving instances of `pool`: a failure counts as a disruption does.
    pub fn count(draft: &Draft, view: &View, pool: &str) -> Self {
        let mut by_rack: BTreeMap<String, u32> = BTreeMap::new();
        for record in draft.of_pool(pool) {
            if record.state == State::Serving && view.is_healthy(&record.name) {
                *by_rack.entry(record.rack.clone()).or_default() += 1;
            }
        }
        Self { by_rack }
    }

    /// Returns the number of healthy serving instances.
    pub fn serving(&self) -> u32 {
        self.by_rack.values().sum()
    }

    /// Returns the number that is left when the `racks` fullest racks are lost.
    pub fn after_rack_loss(&self, racks: u32) -> u32 {
        let mut counts: Vec<u32> = self.by_rack.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.into_iter().skip(racks as usize).sum()
    }

    /// Tells whether an instance may be taken out of service now.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the pool's budget does not permit it.
    pub fn check(draft: &Draft, view: &View, record: &instance::Record) -> Result<(), Refusal> {
        let Some(pool) = view.fleet.pool(&record.pool) else {
            return UnknownPoolSnafu { pool: &record.pool }.fail();
        };
        let mut budget = Self::count(draft, view, &pool.name);
        let is_counted = record.state == State::Serving && view.is_healthy(&record.name);
        if !is_counted {
            // It serves nobody now, so its disruption takes nothing away.
            return Ok(());
        }
        if let Some(count) = budget.by_rack.get_mut(&record.rack) {
            *count -= 1;
        }
        let left = budget.serving();
        if left < pool.budget {
            return BudgetSnafu {
                pool: &pool.name,
                left,
                budget: pool.budget,
            }
            .fail();
        }
        let left = budget.after_rack_loss(pool.survive_racks);
        if left < pool.budget {
            return RacksSnafu {
                pool: &pool.name,
                racks: pool.survive_racks,
                left,
                budget: pool.budget,
            }
            .fail();
        }
        let left = budget.serving();
        let busy = draft.busy.get(&pool.name).copied().unwrap_or(0);
        if left < busy {
            return DemandSnafu {
                pool: &pool.name,
                left,
                busy,
            }
            .fail();
        }
        Ok(())
    }
}
