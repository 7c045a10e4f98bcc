use super::{Action, Owner, TaskKey, WorkerKey};
use hyssop_model::work::Running;
use std::time::Duration;

/// From this share of its target on, a serving task's tail is too near: filling tasks are slowed
/// long before harm, since what disturbs whom changes within seconds.
const NEAR: f64 = 0.7;
/// Below this share of the target there is room for filling tasks to work faster.
const FAR: f64 = 0.45;
/// A report's gauge covers the last half second, so a slow-down shows after this time.
const SLOWER_PAUSE: Duration = Duration::from_millis(400);
/// Speeding up is tried by little and seldom.
const FASTER_PAUSE: Duration = Duration::from_millis(1_000);
const FASTER_STEP: u32 = 10;
/// Below this share a filling task is stopped from working altogether.
const LEAST: u32 = 8;
const WHOLE: u32 = 100;

impl Owner {
    /// Sets the speed of the tasks that fill a worker by the tails of those that serve on it.
    ///
    /// The load that this answers: filling tasks use what serving ones leave, and disturb them by
    /// amounts that nobody knows before.
    pub(super) fn pace(&mut self, key: WorkerKey, running: &[Running], now: Duration) {
        let mut worst: Option<f64> = None;
        let mut filling: Vec<TaskKey> = Vec::new();
        for entry in running {
            let Some(&job_key) = self.names.get(&entry.task.job) else {
                continue;
            };
            let step = self
                .jobs
                .get(&job_key)
                .and_then(|job| job.step(entry.task.step));
            let Some(step) = step else {
                continue;
            };
            if step.fills {
                filling.push(TaskKey {
                    job: job_key,
                    occurrence: entry.task.occurrence,
                    step: entry.task.step,
                    index: entry.task.index,
                });
            } else if let Some(tail) = entry.gauge.filter(|_| step.tail_ms > 0) {
                let share = tail / step.tail_ms as f64;
                worst = Some(worst.map_or(share, |other| other.max(share)));
            }
        }
        if filling.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let since = now.saturating_sub(worker.paced_at);
        let share = worst.unwrap_or(0.0);
        let pace = if share >= NEAR && since >= SLOWER_PAUSE && worker.pace > 0 {
            let half = worker.pace / 2;
            if half < LEAST {
                0
            } else {
                half
            }
        } else if share < FAR && since >= FASTER_PAUSE && worker.pace < WHOLE {
            (worker.pace + FASTER_STEP).min(WHOLE)
        } else {
            worker.pace
        };
        if pace != worker.pace {
            worker.pace = pace;
            worker.paced_at = now;
        }
        for task in filling {
            let Some(run) = worker.runs.get_mut(&task) else {
                continue;
            };
            if run.pace == pace || run.stopping_at.is_some() {
                continue;
            }
            run.pace = pace;
            if let Some(job) = self.jobs.get(&task.job) {
                self.actions.push(Action::Pace {
                    worker: key,
                    task: super::order::task_name(job, task),
                    run: run.number,
                    percent: pace,
                });
            }
        }
    }

    /// Notes that a change of speed was not answered; it is ordered again by the next report.
    pub fn pace_missed(&mut self, key: WorkerKey, run: u64) {
        /// No order is ever given for this speed, so that any is given anew.
        const UNKNOWN: u32 = u32::MAX;
        if let Some(worker) = self.workers.get_mut(&key) {
            let meant = worker.runs.values_mut().filter(|held| held.number == run);
            meant.for_each(|held| held.pace = UNKNOWN);
        }
    }
}
