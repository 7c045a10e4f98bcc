use super::{kind, Accuracy, Place};
use crate::owner::completion::QUARANTINE_FAILED_JOBS;
use crate::owner::worker::{Run, Worker};
use crate::owner::{Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::{Outcome, Step};
use std::time::Duration;

/// A worker whose runs take this many times the expected duration teaches nothing about images.
/// Lower than the ratio at which placement avoids it, which is reached only after several runs.
const SUSPECT_SLOWNESS: f64 = 1.5;
/// No run is overdue before this: reports show progress only some times a second.
const MIN_OVERDUE: Duration = Duration::from_millis(1_000);
/// A run teaches that it takes longer once it has been going on for this many times the expected
/// duration. At twice it, tasks that vary by half would be taught before their end too often.
const OVERDUE: f64 = 3.0;

impl Scheduler {
    /// Returns how the forecasts of recent runs compare with their durations, by queue.
    pub fn accuracies(&self) -> impl Iterator<Item = (&str, Accuracy)> {
        self.scores.accuracies()
    }

    /// Learns from a run that was done, and compares its worker with what was expected of the image.
    pub(in crate::owner) fn learn_from_success(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: &Run,
        queue: &str,
        step: &Step,
        now: Duration,
    ) {
        if self.is_duration_distorted(key, task, run, step, now) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let ms = milliseconds(now.saturating_sub(run.began_at()));
        let place = place(key, worker);
        let verdict = self
            .learning
            .observe(kind(queue, step), ms, run.observed_ms, place);
        if !verdict.is_image_long {
            worker.record_duration(ms, &verdict.expectation);
        }
        let line = self.scores.compare(queue, &verdict.expectation, ms, now);
        if let Some(accuracy) = line {
            log::info!(
                "event=forecast pool={} queue={queue} runs={} under_high={:.2} median_ratio={:.2}",
                self.pool,
                accuracy.runs,
                accuracy.under_high,
                accuracy.median_ratio
            );
        }
    }

    /// Learns from a run that ended without a result, which would have taken longer than it had made
    /// progress.
    ///
    /// A run that hung, or whose worker was not heard, shows no progress for the last part of its time.
    pub(in crate::owner) fn learn_from_end(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: &Run,
        queue: &str,
        step: &Step,
        outcome: Outcome,
    ) {
        // A failure tells nothing about how long the task takes.
        if matches!(outcome, Outcome::Done | Outcome::Failed) {
            return;
        }
        self.learn_bound(key, task, run, queue, step);
    }

    /// Learns from runs that go on after several times their expected duration.
    pub(in crate::owner) fn learn_from_overdue_runs(&mut self, now: Duration) {
        let mut overdue: Vec<(WorkerKey, TaskKey)> = Vec::new();
        for (key, worker) in &mut self.workers {
            for (task, run) in &mut worker.runs {
                let is_measured = run.is_whole && run.is_confirmed && run.stopping_at.is_none();
                if !is_measured || now < run.began_at() + run.overdue_after {
                    continue;
                }
                if !run.overdue_after.is_zero() {
                    overdue.push((*key, *task));
                }
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(step) = job.step(task.step).filter(|step| !step.is_long_running) else {
                    run.overdue_after = Duration::MAX / 2;
                    continue;
                };
                let expected_ms = self.learning.expected_ms(kind(&job.queue, step));
                let elapsed = now.saturating_sub(run.began_at());
                // Each further observation waits until the time has doubled, so there are few per run.
                run.overdue_after = Duration::from_secs_f64(OVERDUE * expected_ms / 1_000.0)
                    .max(elapsed * 2)
                    .max(MIN_OVERDUE);
            }
        }
        for (key, task) in overdue {
            let run = self.workers.get(&key).and_then(|w| w.runs.get(&task));
            let job = self.jobs.get(&task.job);
            let found = run.cloned().zip(job).and_then(|(run, job)| {
                let step = job.step(task.step)?;
                Some((run, job.queue.clone(), step.clone()))
            });
            let Some((run, queue, step)) = found else {
                continue;
            };
            let observed_ms = self.learn_bound(key, task, &run, &queue, &step);
            let worker = self.workers.get_mut(&key);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
                run.observed_ms = observed_ms.or(run.observed_ms);
            }
        }
    }

    /// Observes how long a run has made progress, as the least that it takes; returns what was learned.
    fn learn_bound(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: &Run,
        queue: &str,
        step: &Step,
    ) -> Option<f64> {
        let seen_until = run.progressed_at;
        if step.is_long_running || self.is_duration_distorted(key, task, run, step, seen_until) {
            return None;
        }
        let place = place(key, self.workers.get(&key)?);
        let ms = milliseconds(seen_until.saturating_sub(run.began_at()));
        let is_observed =
            self.learning
                .observe_bound(kind(queue, step), ms, run.observed_ms, place);
        is_observed.then_some(ms)
    }

    /// Returns whether the time that a run took until `end` doesn't show how long such tasks take.
    fn is_duration_distorted(
        &self,
        key: WorkerKey,
        task: TaskKey,
        run: &Run,
        step: &Step,
        end: Duration,
    ) -> bool {
        let Some(worker) = self.workers.get(&key) else {
            return true;
        };
        // The end of a run on a worker that was not heard is known too late.
        let is_end_unknown = worker.heard_again_at == Some(end);
        let is_paced =
            step.is_best_effort && (worker.pace < 100 || worker.paced_at >= run.began_at());
        // Whether the first of several orders has started the run is not known.
        !run.is_whole
            || run.may_have_started
            || is_end_unknown
            || is_paced
            || self.is_off_rack(worker, task, step)
    }

    /// Returns whether a task runs away from its data, or from the other tasks of its step, though it
    /// could run there.
    fn is_off_rack(&self, worker: &Worker, task: TaskKey, step: &Step) -> bool {
        let rack = worker.listing.rack();
        let mut workers = self.workers.values();
        match &step.rack {
            Some(wanted) if wanted != rack => workers.any(|worker| worker.listing.rack() == wanted),
            _ => {
                step.one_rack
                    && workers.any(|other| {
                        other.listing.rack() != rack
                            && other.runs.range(task.siblings()).next().is_some()
                    })
            }
        }
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn place(key: WorkerKey, worker: &Worker) -> Place {
    Place {
        worker: key.0,
        is_suspect: worker.slowness >= SUSPECT_SLOWNESS
            || worker.failed_jobs.len() >= QUARANTINE_FAILED_JOBS,
    }
}
