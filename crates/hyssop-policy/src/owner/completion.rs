use super::job::State;
use super::{Scheduler, TaskKey, WorkerKey};
use hyssop_model::work::{Completion, Outcome, Phase};
use std::time::Duration;

/// Number of different jobs that must fail on a worker without a success in between before it is
/// quarantined. A single failing job may itself be at fault.
pub(super) const QUARANTINE_FAILED_JOBS: usize = 2;

impl Scheduler {
    /// Applies a completion reported by a worker. Repeated reports of it have no effect.
    pub(super) fn apply_completion(
        &mut self,
        key: WorkerKey,
        completion: Completion,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if completion.number <= worker.applied {
            return;
        }
        worker.applied = completion.number;
        self.apply_to_job(key, completion, now);
    }

    /// Applies the completions that waited for their occurrences to be opened.
    pub(super) fn apply_deferred_completions(&mut self, now: Duration) {
        let mut deferred = Vec::new();
        for (key, worker) in &mut self.workers {
            let completions = std::mem::take(&mut worker.deferred_completions);
            deferred.extend(
                completions
                    .into_values()
                    .map(|completion| (*key, completion)),
            );
        }
        for (key, completion) in deferred {
            self.apply_to_job(key, completion, now);
        }
    }

    fn apply_to_job(&mut self, key: WorkerKey, completion: Completion, now: Duration) {
        self.is_placement_due = true;
        let found = self.job_keys.get(&completion.task.job).copied();
        if let Some(job_key) = found {
            self.open_reported_occurrence(job_key, completion.task.occurrence, now);
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let Some((job_key, job)) = found.and_then(|k| Some((k, self.jobs.get_mut(&k)?))) else {
            return;
        };
        let task = TaskKey {
            job: job_key,
            occurrence: completion.task.occurrence,
            step: completion.task.step,
            index: completion.task.index,
        };
        if job.will_open(task.occurrence) {
            worker
                .deferred_completions
                .insert(completion.number, completion);
            return;
        }
        worker.unstored.insert(completion.number, job_key);
        let mut ended = None;
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.number <= completion.run)
        {
            ended = worker.unreserve(task);
        }
        let measured = ended.filter(|run| run.number == completion.run);
        let Some(step) = job.step(task.step).cloned() else {
            return;
        };
        let queue = job.queue.clone();
        job.has_started = true;
        let max_attempts = self.rules.get(&queue).map_or(1, |rule| rule.max_attempts);
        let Some(stage) = job.stage_mut(task.occurrence, task.step) else {
            return;
        };
        let Some(entry) = stage.tasks.get_mut(task.index as usize) else {
            return;
        };
        // An orphaned task stays orphaned: until all workers of the earlier term have reported, a
        // newer run of it may exist elsewhere.
        let is_current =
            matches!(entry.state, State::Placed(at) if at == key && completion.run >= entry.run);
        if completion.outcome != Outcome::Done {
            log::info!(
                "event=run-ended task={} run={} worker={} ending={} current={is_current}",
                completion.task,
                completion.run,
                worker.listing.id,
                completion.outcome
            );
        }
        if !completion.checkpoint.is_empty() && entry.state != State::Done {
            job.save_checkpoint(task, &completion.checkpoint);
            self.dirty.insert(job_key);
        }
        let Some(stage) = job.stage_mut(task.occurrence, task.step) else {
            return;
        };
        let Some(entry) = stage.tasks.get_mut(task.index as usize) else {
            return;
        };
        match completion.outcome {
            Outcome::Done if !step.is_long_running && entry.state != State::Done => {
                // The success of a run that was considered lost still counts.
                let other_worker = match entry.state {
                    State::Placed(assigned) if assigned != key => Some(assigned),
                    _ => None,
                };
                entry.state = State::Done;
                stage.done += 1;
                if step.gang {
                    for member in &mut stage.tasks {
                        member.state = State::Done;
                    }
                    stage.done = stage.tasks.len();
                }
                self.dirty.insert(job_key);
                if let Some(assigned) = other_worker {
                    let state = State::Placed(assigned);
                    self.log_run_conflict(key, &completion.task, completion.run, state);
                    self.stop_task(assigned, task, now);
                }
                if let Some(run) = &measured {
                    self.learn_from_success(key, task, run, &queue, &step, now);
                }
                if let Some(worker) = self.workers.get_mut(&key) {
                    worker.failed_jobs.clear();
                }
                self.finish_occurrences(job_key, now);
            }
            Outcome::Failed => {
                entry.avoided = Some((key, now + self.settings.quarantine));
                if is_current {
                    entry.state = State::Waiting;
                }
                // A gang fails as a unit, so its attempts are counted on its first member.
                let counter_index = if step.gang { 0 } else { task.index as usize };
                let failed_runs = &mut stage.tasks[counter_index].failed_runs;
                if !step.is_long_running && failed_runs.insert(completion.run) {
                    self.dirty.insert(job_key);
                }
                let is_exhausted =
                    !step.is_long_running && failed_runs.len() >= max_attempts as usize;
                if !step.is_long_running {
                    self.record_failure(key, job_key, now);
                }
                if is_exhausted {
                    self.fail_job(job_key, now);
                }
            }
            _ if is_current => entry.state = State::Waiting,
            _ => {}
        }
        if let Some(run) = &measured {
            self.learn_from_end(key, task, run, &queue, &step, completion.outcome);
        }
    }

    /// Records a failure and quarantines the worker once several jobs have failed there without a
    /// success in between.
    fn record_failure(&mut self, key: WorkerKey, job: super::JobKey, now: Duration) {
        let quarantine = self.settings.quarantine;
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.failed_jobs.insert(job);
        if worker.failed_jobs.len() >= QUARANTINE_FAILED_JOBS {
            worker.excluded_until = worker.excluded_until.max(now + quarantine);
            log::info!(
                "event=worker-suspect pool={} worker={} failed_jobs={} blocked_ms={}",
                self.pool,
                worker.listing.id,
                worker.failed_jobs.len(),
                quarantine.as_millis()
            );
        }
    }

    /// Marks a job as failed and stops its runs, unless the job has already finished.
    fn fail_job(&mut self, key: super::JobKey, now: Duration) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = Phase::Failed;
        job.finished_at = Some(now);
        self.dirty.insert(key);
        self.stop_job(key, now);
    }

    /// Removes finished occurrences of a job, and marks the job as done once all have finished.
    pub(super) fn finish_occurrences(&mut self, key: super::JobKey, now: Duration) {
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
            job.finished_at = Some(now);
            self.dirty.insert(key);
            // Superseded runs of tasks that finished on another worker may still exist.
            self.stop_job(key, now);
        }
    }
}
