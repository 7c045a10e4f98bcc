use super::job::State;
use super::{Owner, TaskKey, WorkerKey};
use hyssop_model::work::{Ended, Ending, Phase};
use std::time::Duration;

/// This many jobs failing on one worker without a success between them make it suspect: one
/// alone may be the job's own fault.
const STRIKES: usize = 2;
/// The weight of one observation of a worker's speed.
const SLOWNESS_WEIGHT: f64 = 0.3;

impl Owner {
    /// Applies an ending that a worker reports; a repeat has no further effect.
    pub(super) fn end(&mut self, key: WorkerKey, ended: Ended, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if ended.number <= worker.applied {
            return;
        }
        worker.applied = ended.number;
        self.is_placing_due = true;
        let found = self.names.get(&ended.task.job).copied();
        let Some((job_key, job)) = found.and_then(|k| Some((k, self.jobs.get_mut(&k)?))) else {
            return;
        };
        let task = TaskKey {
            job: job_key,
            occurrence: ended.task.occurrence,
            step: ended.task.step,
            index: ended.task.index,
        };
        let mut ordered_at = None;
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.number <= ended.run)
        {
            ordered_at = worker.release(task).map(|run| run.ordered_at);
        }
        let Some(step) = job.step(task.step).cloned() else {
            return;
        };
        let queue = job.queue.clone();
        job.has_started = true;
        let max_attempts = self.rules.get(&queue).map_or(1, |rule| rule.max_attempts);
        let Some(stage) = job.stage_mut(task.occurrence, task.step) else {
            return;
        };
        let Some(held) = stage.tasks.get_mut(task.index as usize) else {
            return;
        };
        // While an earlier term's workers are unaccounted for, a newer run may be elsewhere, so an
        // unlocated task stays so.
        let is_current =
            matches!(held.state, State::Placed(holder) if holder == key && ended.run >= held.run);
        if ended.ending != Ending::Done {
            log::info!(
                "event=run-ended task={} run={} worker={} ending={} current={is_current}",
                ended.task,
                ended.run,
                worker.listing.id,
                ended.ending
            );
        }
        if !ended.checkpoint.is_empty() && held.state != State::Done {
            held.checkpoint.clone_from(&ended.checkpoint);
            self.dirty.insert(job_key);
        }
        match ended.ending {
            Ending::Done if !step.lasts && held.state != State::Done => {
                // A run that was given up can still have ended well; its end counts.
                let elsewhere = match held.state {
                    State::Placed(holder) if holder != key => Some(holder),
                    _ => None,
                };
                held.state = State::Done;
                stage.done += 1;
                if step.gang {
                    for member in &mut stage.tasks {
                        member.state = State::Done;
                    }
                    stage.done = stage.tasks.len();
                }
                self.dirty.insert(job_key);
                if let Some(holder) = elsewhere {
                    self.stop_task(holder, task, now);
                }
                self.note_success(key, &queue, step.estimate_ms, ordered_at, now);
                self.settle(job_key, now);
            }
            Ending::Failed => {
                held.avoided = Some(key);
                if is_current {
                    held.state = State::Waiting;
                }
                // A gang fails as one: its attempts are counted on its first member.
                let counted = if step.gang { 0 } else { task.index as usize };
                let failed_runs = &mut stage.tasks[counted].failed_runs;
                if !step.lasts && failed_runs.insert(ended.run) {
                    self.dirty.insert(job_key);
                }
                let is_over = !step.lasts && failed_runs.len() >= max_attempts as usize;
                if !step.lasts {
                    self.note_failure(key, job_key, now);
                }
                if is_over {
                    self.fail(job_key, now);
                }
            }
            _ if is_current => held.state = State::Waiting,
            _ => {}
        }
    }

    fn note_success(
        &mut self,
        key: WorkerKey,
        queue: &str,
        estimate_ms: u64,
        ordered_at: Option<Duration>,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.strikes.clear();
        let Some(ordered_at) = ordered_at else {
            return;
        };
        let duration = now.saturating_sub(ordered_at);
        let expected = estimate_ms as f64 * self.learning.factor(queue);
        if expected > 0.0 {
            let seen = (duration.as_secs_f64() * 1_000.0 / expected).clamp(0.3, 5.0);
            worker.slowness += (seen - worker.slowness) * SLOWNESS_WEIGHT;
        }
        self.learning.observe(queue, estimate_ms, duration);
    }

    /// Blames the worker once several jobs have failed there in a row.
    fn note_failure(&mut self, key: WorkerKey, job: super::JobKey, now: Duration) {
        let quarantine = self.settings.quarantine;
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.strikes.insert(job);
        if worker.strikes.len() >= STRIKES {
            worker.blocked_until = worker.blocked_until.max(now + quarantine);
            log::info!(
                "event=worker-suspect pool={} worker={} failed_jobs={} blocked_ms={}",
                self.pool,
                worker.listing.id,
                worker.strikes.len(),
                quarantine.as_millis()
            );
        }
    }

    fn fail(&mut self, key: super::JobKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = Phase::Failed;
        job.ended_at = Some(now);
        self.dirty.insert(key);
        self.stop_job(key, now);
    }

    /// Finds out whether an occurrence, and with it the job, is done.
    pub(super) fn settle(&mut self, key: super::JobKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let count = job.submission.schedule.map_or(1, |schedule| schedule.count);
        let before = job.occurrences.len();
        job.occurrences
            .retain(|_, occurrence| !occurrence.is_done());
        job.finished_occurrences += (before - job.occurrences.len()) as u32;
        if job.finished_occurrences >= count && !job.phase.is_final() {
            job.phase = Phase::Done;
            job.ended_at = Some(now);
            self.dirty.insert(key);
            // Copies of tasks that others finished first may still run.
            self.stop_job(key, now);
        }
    }
}
