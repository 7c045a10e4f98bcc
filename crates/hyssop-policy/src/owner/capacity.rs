use super::budget::{is_long_running, MIN_RELEASE_LEFT};
use super::Scheduler;
use hyssop_model::work::Resources;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The resources that a pool's jobs demand and the load of its workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The pool.
    pub pool: String,
    /// The resources needed by runnable tasks that wait for capacity, and by long-running tasks
    /// that must leave their worker and fit on no other.
    pub waiting: Resources,
    /// The resources reserved by runs.
    pub running: Resources,
    /// The minimum number of workers that the long-running tasks of one step need, at its maximum
    /// over all steps.
    #[serde(rename = "spread")]
    pub min_workers: u32,
    /// How many long-running tasks may be moved at the same time, summed over all steps.
    #[serde(rename = "movable")]
    pub max_moves: u32,
    /// The load of each worker.
    pub loads: Vec<Load>,
}

/// The load and condition of one worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The worker.
    pub worker: String,
    /// Its incarnation, `None` from owners of earlier versions.
    #[serde(default)]
    pub incarnation: Option<i64>,
    /// The instance that hosts it.
    pub instance: String,
    /// The number of its runs.
    pub runs: u32,
    /// The number of its runs that are long-running.
    #[serde(rename = "lasting")]
    pub long_running: u32,
    /// The CPU reserved by its runs, in thousandths of a core.
    pub cpu: u64,
    /// Whether it has reported in this term and answers calls.
    #[serde(rename = "is_sound")]
    pub is_responsive: bool,
    /// Whether it is being evacuated.
    #[serde(rename = "is_vacating")]
    pub is_evacuating: bool,
    /// Whether it may have runs that are not counted: those of finished or unknown jobs, and all runs
    /// of an earlier term until it has reported.
    #[serde(default)]
    pub has_unknown_runs: bool,
    /// Whether it may be shut down now together with its tasks: all of them are long-running, and
    /// their budgets allow it.
    #[serde(rename = "is_cleared")]
    pub is_released_for_disruption: bool,
}

impl Load {
    /// Returns whether the worker certainly runs nothing.
    pub fn is_idle(&self) -> bool {
        self.runs == 0 && !self.has_unknown_runs
    }
}

impl Scheduler {
    /// Returns the demand of the pool's jobs and the load of its listed workers.
    pub fn demand(&self, now: Duration) -> Demand {
        let mut demand = Demand {
            pool: self.pool.clone(),
            ..Demand::default()
        };
        for (_, step) in self.waiting_tasks() {
            demand.waiting.add(&step.reserved());
        }
        for step in self.unmovable_steps(now) {
            demand.waiting.add(&step.reserved());
        }
        (demand.min_workers, demand.max_moves) = self.long_running_bounds();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            demand.running.add(&worker.used);
            let long_running = worker
                .runs
                .keys()
                .filter(|task| is_long_running(&self.jobs, **task))
                .count() as u32;
            demand.loads.push(Load {
                worker: worker.listing.id.clone(),
                incarnation: Some(worker.listing.incarnation),
                instance: worker.listing.instance.clone(),
                runs: worker.runs.len() as u32,
                long_running,
                cpu: worker.used.cpu,
                is_responsive: worker.has_reported && worker.unreachable_since.is_none(),
                is_evacuating: worker.is_evacuating(now),
                has_unknown_runs: worker.has_unknown_runs || self.is_unreported(worker),
                is_released_for_disruption: worker.is_released(now + MIN_RELEASE_LEFT),
            });
        }
        demand
    }

    /// Returns the maximum, over the steps of open jobs, of the number of workers that the step's
    /// long-running tasks need, and the number of long-running tasks that may be moved at the same
    /// time.
    fn long_running_bounds(&self) -> (u32, u32) {
        let long_running = self
            .open_jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| !job.phase.is_final())
            .flat_map(|job| &job.submission.steps)
            .filter(|step| step.is_long_running);
        long_running.fold((0, 0), |(min_workers, max_moves), step| {
            let required_workers = match step.max_per_worker {
                0 => 0,
                max_per_worker => step.count.div_ceil(max_per_worker),
            };
            (
                min_workers.max(required_workers),
                max_moves.saturating_add(step.budget()),
            )
        })
    }
}
