//! Drawn loads, and estimators of durations that learn from them on a fake clock.

#![allow(unreachable_pub)]

mod alternatives;
mod loads;

pub use alternatives::{alternatives, Alternative, BEFORE, CHOSEN};
pub use loads::{draw, Load, Task};

use hyssop_policy::owner::learning::Place;
use std::collections::BTreeMap;

/// What an alternative forecast for the tasks of a load that ran on sound workers.
#[derive(Debug)]
pub struct Outcome {
    /// By how much forecast or truth exceeds the other, in ascending order.
    errors: Vec<f64>,
    /// The same against the median of the durations from which the truth was drawn.
    forecast_errors: Vec<f64>,
    under_high: usize,
}

impl Outcome {
    pub fn error(&self, share: f64) -> f64 {
        self.errors[((self.errors.len() - 1) as f64 * share) as usize]
    }

    pub fn forecast_error(&self, share: f64) -> f64 {
        self.forecast_errors[((self.errors.len() - 1) as f64 * share) as usize]
    }

    pub fn under_high(&self) -> f64 {
        self.under_high as f64 / self.errors.len() as f64
    }
}

/// The runs after which the owner knows a worker that is slow.
const RUNS_UNTIL_SUSPECT: u32 = 3;
/// A run is taught to be longer after this many times its expected duration, and each time that has
/// doubled.
const OVERDUE: f64 = 3.0;

/// A run whose end, or whose next observation before, is due.
struct Due<'a> {
    task: &'a Task,
    /// The time that it has taken.
    ms: f64,
    observed_ms: Option<f64>,
}

/// Forecasts each task when it arrives and teaches its duration when it ends.
pub fn replay(tasks: &[Task], alternative: &mut dyn Alternative) -> Outcome {
    let mut due: BTreeMap<(u64, usize), Due<'_>> = BTreeMap::new();
    let mut slow_runs: BTreeMap<u32, u32> = BTreeMap::new();
    let mut errors = Vec::new();
    let mut forecast_errors = Vec::new();
    let mut under_high = 0;
    let at = |task: &Task, ms: f64| task.arrives_ms + ms as u64;
    for (number, task) in tasks.iter().enumerate() {
        while let Some(first) = due.first_entry() {
            if first.key().0 > task.arrives_ms {
                break;
            }
            let ((_, number), run) = first.remove_entry();
            let slow = slow_runs.entry(run.task.worker).or_default();
            let place = Place {
                worker: run.task.worker,
                is_suspect: *slow > RUNS_UNTIL_SUSPECT,
            };
            if run.ms >= run.task.ms {
                *slow += u32::from(run.task.is_worker_slow);
                alternative.observe(run.task, run.observed_ms, place);
                continue;
            }
            let is_observed = alternative.observe_bound(run.task, run.ms, run.observed_ms, place);
            let next = Due {
                ms: (run.ms * 2.0).min(run.task.ms),
                observed_ms: is_observed.then_some(run.ms).or(run.observed_ms),
                ..run
            };
            due.insert((at(next.task, next.ms), number), next);
        }
        let (expected_ms, high_ms) = alternative.forecast(task);
        if !task.is_worker_slow {
            errors.push(error(expected_ms, task.ms));
            forecast_errors.push(error(expected_ms, task.typical_ms));
            under_high += usize::from(task.ms <= high_ms);
        }
        let run = Due {
            task,
            ms: (OVERDUE * expected_ms).max(1.0).min(task.ms),
            observed_ms: None,
        };
        due.insert((at(task, run.ms), number), run);
    }
    errors.sort_by(f64::total_cmp);
    forecast_errors.sort_by(f64::total_cmp);
    Outcome {
        errors,
        forecast_errors,
        under_high,
    }
}

/// Returns by how much the larger of forecast and truth exceeds the other, as a share of that.
fn error(forecast: f64, truth: f64) -> f64 {
    (forecast / truth).max(truth / forecast) - 1.0
}
