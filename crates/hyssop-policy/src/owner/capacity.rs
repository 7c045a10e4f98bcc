use super::budget::{lasts, CLEARED_LEAST};
use super::Owner;
use hyssop_model::work::Resources;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Says what a pool's jobs ask for and what its workers hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The pool.
    pub pool: String,
    /// What tasks need whose turn has come and that no worker has room for, and lasting tasks that
    /// are to move and can't.
    pub waiting: Resources,
    /// What runs reserve.
    pub running: Resources,
    /// The most workers that the lasting tasks of one step have to stand on.
    pub spread: u32,
    /// How many lasting tasks may be moved at a time, over all steps.
    pub movable: u32,
    /// The workers.
    pub loads: Vec<Load>,
}

/// Says what one worker is doing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The worker.
    pub worker: String,
    /// The instance below it.
    pub instance: String,
    /// The number of its runs.
    pub runs: u32,
    /// The number of its runs that last.
    pub lasting: u32,
    /// The processor that its runs reserve, in thousandths of a core.
    pub cpu: u64,
    /// Whether it answers and takes orders.
    pub is_sound: bool,
    /// Whether it is being emptied.
    pub is_vacating: bool,
    /// Whether it may be ended with its tasks now: they last, and their budgets allow it.
    pub is_cleared: bool,
}

impl Owner {
    /// Sums up what the pool's jobs ask for.
    pub fn demand(&self, now: Duration) -> Demand {
        let mut demand = Demand {
            pool: self.pool.clone(),
            ..Demand::default()
        };
        for (_, step) in self.waiting_tasks() {
            demand.waiting.add(&step.reserved());
        }
        for step in self.unmovable(now) {
            demand.waiting.add(&step.reserved());
        }
        (demand.spread, demand.movable) = self.lasting_bounds();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            demand.running.add(&worker.used);
            let lasting = worker
                .runs
                .keys()
                .filter(|task| lasts(&self.jobs, **task))
                .count() as u32;
            demand.loads.push(Load {
                worker: worker.listing.id.clone(),
                instance: worker.listing.instance.clone(),
                runs: worker.runs.len() as u32,
                lasting,
                cpu: worker.used.cpu,
                is_sound: worker.is_known && worker.silent_since.is_none(),
                is_vacating: worker.is_vacating(now),
                is_cleared: worker.is_cleared(now + CLEARED_LEAST),
            });
        }
        demand
    }

    /// Returns the most workers that the lasting tasks of one step of an open job have to stand
    /// on, and how many lasting tasks may be moved at a time.
    fn lasting_bounds(&self) -> (u32, u32) {
        let lasting = self
            .open
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| !job.phase.is_final())
            .flat_map(|job| &job.submission.steps)
            .filter(|step| step.lasts);
        lasting.fold((0, 0), |(spread, movable), step| {
            let stands_on = match step.most_per_worker {
                0 => 0,
                most => step.count.div_ceil(most),
            };
            (spread.max(stands_on), movable + step.budget())
        })
    }
}
