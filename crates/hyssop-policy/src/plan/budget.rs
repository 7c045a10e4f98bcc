use super::{Draft, View};
use hyssop_model::instance::State;
use hyssop_model::prelude::*;
use snafu::Snafu;

/// The reason why a disruption is not permitted now.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The pool would go below its budget.
    #[snafu(display(
        "pool {pool} would have {left} healthy instances serving, below its budget of {budget}; waiting for \
         others to return"
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
         {budget}; waiting for others to return"
    ))]
    Racks {
        /// The pool.
        pool: String,
        /// The number of racks whose loss the pool must survive.
        racks: u32,
        /// The healthy serving instances left after the loss of these racks.
        left: u32,
        /// The budget.
        budget: u32,
    },
    /// The pool's sustained demand needs the instance now.
    #[snafu(display(
        "pool {pool} would have {left} healthy instances serving, and its demand keeps {busy} busy; waiting for \
         the demand to fall or for others to return"
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

/// The healthy serving instances of a pool, to compare with its availability budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The number of healthy serving instances by rack.
    by_rack: BTreeMap<String, u32>,
}

impl Budget {
    /// Counts the healthy serving instances of `pool`. Failed instances reduce the count as disrupted
    /// ones do.
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

    /// Returns the number of instances left after the loss of the `racks` racks with the most
    /// instances.
    pub fn after_rack_loss(&self, racks: u32) -> u32 {
        let mut counts: Vec<u32> = self.by_rack.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts.into_iter().skip(racks as usize).sum()
    }

    /// Checks that an instance may be taken out of service now.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the pool's budget or its demand does not permit it.
    pub fn check(draft: &Draft, view: &View, record: &instance::Record) -> Result<(), Refusal> {
        let Some(pool) = view.fleet.pool(&record.pool) else {
            return UnknownPoolSnafu { pool: &record.pool }.fail();
        };
        let mut budget = Self::count(draft, view, &pool.name);
        let is_counted = record.state == State::Serving && view.is_healthy(&record.name);
        if !is_counted {
            // The instance does not serve now, so a disruption changes nothing.
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
