use super::{Action, Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::Running;
use std::time::Duration;

/// Best-effort tasks are slowed down once a serving task's tail latency reaches this share of its
/// target: well before it is exceeded, since interference between tasks changes within seconds.
const SLOW_DOWN_SHARE: f64 = 0.7;
/// Best-effort tasks are sped up while tail latencies are below this share of their target.
const SPEED_UP_SHARE: f64 = 0.45;
/// The minimum time between a change and a slow-down: a report's gauge covers the last half
/// second, so the effect of a change shows after this time.
const SLOW_DOWN_PAUSE: Duration = Duration::from_millis(400);
/// The minimum time between a change and a speed-up, and its size in percent: both keep the
/// speed-up gradual.
const SPEED_UP_PAUSE: Duration = Duration::from_millis(1_000);
const SPEED_UP_STEP: u32 = 10;
/// Below this speed, in percent, a best-effort task is paused altogether.
const MIN_PACE: u32 = 8;
const FULL_PACE: u32 = 100;
/// Differs from every speed that is ordered, so the next comparison orders the speed again.
pub(super) const UNKNOWN_PACE: u32 = u32::MAX;

impl Scheduler {
    /// Sets the speed of a worker's best-effort tasks from the tail latencies of the tasks that
    /// serve on it.
    ///
    /// Best-effort tasks use the capacity that serving ones leave, and slow them down by amounts
    /// that can't be predicted, so the speed follows the measured latencies.
    pub(super) fn pace(&mut self, key: WorkerKey, running: &[Running], now: Duration) {
        let mut worst_share: Option<f64> = None;
        let mut best_effort: Vec<TaskKey> = Vec::new();
        for entry in running {
            let Some(&job_key) = self.job_keys.get(&entry.task.job) else {
                continue;
            };
            let step = self
                .jobs
                .get(&job_key)
                .and_then(|job| job.step(entry.task.step));
            let Some(step) = step else {
                continue;
            };
            if step.is_best_effort {
                best_effort.push(TaskKey {
                    job: job_key,
                    occurrence: entry.task.occurrence,
                    step: entry.task.step,
                    index: entry.task.index,
                });
            } else if let Some(tail) = entry.gauge.filter(|_| step.max_tail_latency_ms > 0) {
                let share = tail / step.max_tail_latency_ms as f64;
                worst_share = Some(worst_share.map_or(share, |other| other.max(share)));
            }
        }
        if best_effort.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let since = now.saturating_sub(worker.paced_at);
        let share = worst_share.unwrap_or(0.0);
        let pace = if share >= SLOW_DOWN_SHARE && since >= SLOW_DOWN_PAUSE && worker.pace > 0 {
            let half = worker.pace / 2;
            if half < MIN_PACE {
                0
            } else {
                half
            }
        } else if share < SPEED_UP_SHARE && since >= SPEED_UP_PAUSE && worker.pace < FULL_PACE {
            (worker.pace + SPEED_UP_STEP).min(FULL_PACE)
        } else {
            worker.pace
        };
        if pace != worker.pace {
            worker.pace = pace;
            worker.paced_at = now;
        }
        for task in best_effort {
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

    /// Records that a change of speed went unanswered; the next report orders it again.
    pub fn retry_pace(&mut self, key: WorkerKey, run: u64) {
        if let Some(worker) = self.workers.get_mut(&key) {
            let matching_runs = worker.runs.values_mut().filter(|entry| entry.number == run);
            matching_runs.for_each(|entry| entry.pace = UNKNOWN_PACE);
        }
    }
}
