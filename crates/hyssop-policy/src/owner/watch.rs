use super::job::{Occurrence, State};
use super::{JobKey, Scheduler, TaskKey, WorkerKey};
use std::time::Duration;

/// A run is stalled when it makes no progress for this share of its expected duration, for this
/// share of the high quantile of its duration, and for at least `MIN_STALL`; several reports arrive
/// within that time.
const STALL_SHARE: f64 = 0.5;
/// Where durations vary by more than twice, progress that is reported in quarters comes this slowly
/// in runs at the high quantile.
const HIGH_STALL_SHARE: f64 = 0.25;
/// The number of runs from which the high quantile counts.
const MIN_RUNS: u32 = 8;
const MIN_STALL: Duration = Duration::from_millis(1_200);

/// An occurrence is opened at least this long before it is due, which covers the time that a slow
/// store takes to store it.
const MIN_OPEN_AHEAD: Duration = Duration::from_millis(1_000);
/// Occurrences that are due within this time are opened together, which saves writes of the row.
const MAX_OPEN_AHEAD: Duration = Duration::from_millis(3_000);

impl Scheduler {
    /// Opens and starts the time of occurrences of scheduled jobs; `wall_ms` is in Unix
    /// milliseconds.
    pub(super) fn watch_schedules(&mut self, now: Duration, wall_ms: i64) {
        let is_scheduled = |key: &JobKey| {
            let job = self.jobs.get(key);
            job.is_some_and(|job| job.submission.schedule.is_some())
        };
        let scheduled: Vec<JobKey> = self
            .open_jobs
            .iter()
            .copied()
            .filter(is_scheduled)
            .collect();
        for key in scheduled {
            self.open_occurrences(key, now, wall_ms);
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            let Some(schedule) = job.submission.schedule else {
                continue;
            };
            for (number, occurrence) in &mut job.occurrences {
                let due_ms = schedule.due_ms(*number);
                if !occurrence.is_due && due_ms <= wall_ms {
                    let delay = Duration::from_millis((wall_ms - due_ms).unsigned_abs());
                    occurrence.due_at = now.saturating_sub(delay);
                    occurrence.is_due = true;
                    self.is_placement_due = true;
                }
            }
        }
        self.apply_deferred_completions(now);
    }

    /// Opens the occurrences of a scheduled job that are due soon, several at a time, so that they
    /// are stored before their tasks may start. Past ones are opened as earlier ones end.
    pub(super) fn open_occurrences(&mut self, key: JobKey, now: Duration, wall_ms: i64) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(schedule) = job.submission.schedule else {
            return;
        };
        let is_due_within = |number: u32, span: Duration| {
            number < schedule.count && schedule.due_ms(number) - wall_ms <= span.as_millis() as i64
        };
        if job.phase.is_final() || !is_due_within(job.next_occurrence, MIN_OPEN_AHEAD) {
            return;
        }
        while job.occurrences.len() < job.max_open_occurrences
            && is_due_within(job.next_occurrence, MAX_OPEN_AHEAD)
        {
            let ahead_ms = (schedule.due_ms(job.next_occurrence) - wall_ms).max(0);
            let due_at = now + Duration::from_millis(ahead_ms.unsigned_abs());
            let occurrence = Occurrence::new(&job.submission, due_at, State::Waiting);
            job.occurrences.insert(job.next_occurrence, occurrence);
            job.next_occurrence += 1;
            self.dirty.insert(key);
        }
    }

    /// Opens the occurrences of a scheduled job up to `number`, which a worker has reported.
    ///
    /// A previous owner whose clock is ahead, or of a version that started occurrences before they
    /// were stored, may have started them. If there are too many, the report has to wait.
    pub(super) fn open_reported_occurrence(&mut self, key: JobKey, number: u32, now: Duration) {
        let initial = if self.is_recovering {
            State::Orphaned
        } else {
            State::Waiting
        };
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if !job.will_open(number) {
            return;
        }
        let room = job
            .max_open_occurrences
            .saturating_sub(job.occurrences.len());
        if (number - job.next_occurrence) as usize >= room {
            return;
        }
        for opened in job.next_occurrence..=number {
            let occurrence = Occurrence::new(&job.submission, now, initial);
            job.occurrences.insert(opened, occurrence);
        }
        job.next_occurrence = number + 1;
        self.dirty.insert(key);
    }

    /// Stops stalled runs, so that their tasks resume elsewhere, and resends unanswered starts.
    ///
    /// Tasks on some workers hang while the worker reports as usual. The stop doesn't count as a
    /// failed attempt of the job.
    pub(super) fn watch_runs(&mut self, now: Duration) {
        self.review_starts(now);
        self.learn_from_overdue_runs(now);
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
                // Only reports show progress, so the time since the last report doesn't count.
                let idle = worker.polled_at.saturating_sub(run.progressed_at);
                if idle < MIN_STALL {
                    continue;
                }
                let expectation = self.expectation(&job.queue, step);
                let by_expected = expectation.expected_ms * STALL_SHARE;
                // What is not learned yet is no reason to wait longer.
                let by_high = if expectation.runs >= MIN_RUNS {
                    expectation.high_ms * HIGH_STALL_SHARE
                } else {
                    0.0
                };
                if idle.as_secs_f64() * 1_000.0 >= by_expected.max(by_high) {
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
