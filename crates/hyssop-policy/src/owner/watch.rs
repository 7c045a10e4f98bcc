use super::job::{Occurrence, State};
use super::{Scheduler, TaskKey, WorkerKey};
use std::time::Duration;

/// A run is stalled when it makes no progress for this share of its expected duration, and for at
/// least `MIN_STALL`; several reports arrive within that time.
const STALL_SHARE: f64 = 0.5;
const MIN_STALL: Duration = Duration::from_millis(1_200);

impl Scheduler {
    /// Opens the occurrences of scheduled jobs that are due at `wall_ms`, in Unix milliseconds.
    pub(super) fn open_occurrences(&mut self, now: Duration, wall_ms: i64) {
        for key in &self.open_jobs {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let Some(schedule) = job.submission.schedule else {
                continue;
            };
            if job.phase.is_final() {
                continue;
            }
            while job.next_occurrence < schedule.count
                && schedule.due_ms(job.next_occurrence) <= wall_ms
            {
                let due_ms = schedule.due_ms(job.next_occurrence);
                let delay = Duration::from_millis((wall_ms - due_ms).unsigned_abs());
                let due_at = now.saturating_sub(delay);
                let occurrence = Occurrence::new(&job.submission, due_at, State::Waiting);
                job.occurrences.insert(job.next_occurrence, occurrence);
                job.next_occurrence += 1;
                self.dirty.insert(*key);
                self.is_placement_due = true;
            }
        }
    }

    /// Stops stalled runs, so that their tasks resume elsewhere, and resends unanswered starts.
    ///
    /// Tasks on some workers hang while the worker reports as usual. The stop doesn't count as a
    /// failed attempt of the job.
    pub(super) fn watch_runs(&mut self, now: Duration) {
        self.resend_starts(now);
        let mut stalled: Vec<(WorkerKey, TaskKey)> = Vec::new();
        for (key, worker) in &self.workers {
            if worker.unreachable_since.is_some() {
                continue;
            }
            for (task, run) in &worker.runs {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(step) = job.step(task.step) else {
                    continue;
                };
                if step.is_long_running
                    || step.gang
                    || !run.is_confirmed
                    || run.stopping_at.is_some()
                {
                    continue;
                }
                let expected = step.estimate_ms as f64 * self.learning.factor(&job.queue);
                let threshold = Duration::from_secs_f64(expected * STALL_SHARE / 1_000.0);
                // Only reports show progress, so the time since the last report doesn't count.
                let reported_at = worker.polled_at;
                if reported_at.saturating_sub(run.progressed_at) >= threshold.max(MIN_STALL) {
                    stalled.push((*key, *task));
                }
            }
        }
        for (key, task) in stalled {
            log::info!(
                "event=run-stalled pool={} worker={} job={} step={} index={}",
                self.pool,
                self.workers[&key].listing.id,
                self.jobs[&task.job].id,
                task.step,
                task.index
            );
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.excluded_until = now + self.settings.quarantine;
            }
            self.stop_task(key, task, now);
        }
    }
}
