use super::job::State;
use super::worker::Run;
use super::{Action, Owner, TaskKey, Worker, WorkerKey};
use hyssop_model::work::{self, Report, Running};
use std::time::Duration;

/// How long endings may wait for the store before the worker is asked again regardless.
const UNSTORED_PAUSE: Duration = Duration::from_millis(150);

/// An order on its way arrives within this time, or its connection breaks.
const IN_FLIGHT: Duration = Duration::from_millis(700);

impl Owner {
    /// Takes a worker's registration; another incarnation under its identifier proves the earlier
    /// one gone.
    pub fn list_worker(&mut self, listing: work::Worker, now: Duration) {
        let inherited = self.replace_incarnation(&listing, now);
        let earlier = |(id, incarnation): &(String, i64)| {
            *id == listing.id && *incarnation != listing.incarnation
        };
        self.unaccounted.retain(|name, _| !earlier(name));
        if listing.pool != self.pool {
            self.unlist_worker(&listing.id);
            return;
        }
        if self
            .ended_workers
            .contains(&(listing.id.clone(), listing.incarnation))
        {
            return;
        }
        self.is_placing_due = true;
        if let Some(key) = self.worker_key(&listing.id, listing.incarnation) {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.listing = listing;
                worker.is_listed = true;
            }
            return;
        }
        let key = WorkerKey(self.next_worker);
        self.next_worker += 1;
        let mut worker = Worker::new(listing);
        for (task, run, lease_end) in inherited {
            worker.lease_end = worker.lease_end.max(lease_end);
            if let Some(held) = self.task_mut(task) {
                held.state = State::Placed(key);
            }
            worker.reserve(task, run);
        }
        self.departed.remove(&worker.row_name());
        self.workers.insert(key, worker);
    }

    /// Gives up the earlier incarnation under a worker's identifier.
    ///
    /// What a report of it has listed is gone with it. A start that none has listed may have been
    /// carried out by the new incarnation, which bears the same identifier; such runs are
    /// returned, with the ends of their leases, and settled by the new one's first report.
    fn replace_incarnation(
        &mut self,
        listing: &work::Worker,
        now: Duration,
    ) -> Vec<(TaskKey, Run, Duration)> {
        let earlier: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == listing.id)
            .filter(|(_, worker)| worker.listing.incarnation != listing.incarnation)
            .map(|(key, _)| *key)
            .collect();
        let is_here = listing.pool == self.pool;
        let mut inherited = Vec::new();
        for key in earlier {
            let open: Vec<TaskKey> = self.workers[&key]
                .runs
                .iter()
                .filter(|(_, run)| is_here && !run.is_reported && run.stopping_at.is_none())
                .map(|(task, _)| *task)
                .collect();
            for task in open {
                let Some(worker) = self.workers.get_mut(&key) else {
                    continue;
                };
                let lease_end = worker.lease_end;
                if let Some(mut run) = worker.release(task) {
                    run.is_confirmed = false;
                    run.may_exist = true;
                    inherited.push((task, run, lease_end));
                }
            }
            self.lose_worker(key, now);
        }
        inherited
    }

    /// Settles, by a new incarnation's first report, the runs that it may have been given under
    /// its predecessor's name; those just ordered are ordered again instead, as the same run.
    fn settle_inherited(&mut self, key: WorkerKey, sent_at: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let gone: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| !run.is_reported && run.asked_at + IN_FLIGHT <= sent_at)
            .map(|(task, _)| *task)
            .collect();
        for task in gone {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.release(task);
            }
            self.requeue(task, key);
        }
    }

    /// Notes that the registry no longer lists a worker; it may still run what it was given.
    pub fn unlist_worker(&mut self, id: &str) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id {
                worker.is_listed = false;
            }
        }
    }

    /// Returns the identifiers of the workers that the registry lists here.
    pub fn listed(&self) -> Vec<String> {
        self.workers
            .values()
            .filter(|worker| worker.is_listed)
            .map(|worker| worker.listing.id.clone())
            .collect()
    }

    /// Takes the report that answers a hold sent at `sent_at`, which acknowledged endings up to
    /// `acknowledged`.
    pub fn report(
        &mut self,
        key: WorkerKey,
        report: Report,
        sent_at: Duration,
        acknowledged: u64,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.is_polling = false;
        worker.polled_at = now;
        if report
            .incarnation
            .is_some_and(|incarnation| incarnation != worker.listing.incarnation)
        {
            let listing = work::Worker {
                incarnation: report.incarnation.unwrap_or_default(),
                ..worker.listing.clone()
            };
            self.list_worker(listing, now);
            return;
        }
        worker.silent_since = None;
        // Answers may overtake each other; the offset only ever errs towards an early end.
        worker.clock_offset_ms = Some(report.clock_ms - now.as_millis() as i64);
        worker.acknowledged = worker.acknowledged.max(acknowledged);
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        let is_first = !worker.is_known;
        if is_first {
            worker.is_known = true;
            self.is_placing_due = true;
        }
        for running in &report.running {
            self.note_running(key, running, sent_at, now);
        }
        self.pace(key, &report.running, now);
        let mut endings = report.ended;
        endings.sort_by_key(|ended| ended.number);
        for ended in endings {
            self.end(key, ended, now);
        }
        if is_first {
            self.settle_inherited(key, sent_at);
        }
        self.release_never_begun(key, &report.running, sent_at);
        self.unaccounted.remove(&name);
        if let Some(worker) = self.workers.get_mut(&key) {
            let doubtful = std::mem::take(&mut worker.doubtful);
            for (task, run) in doubtful {
                self.actions.push(Action::Stop {
                    worker: key,
                    task,
                    run,
                });
            }
        }
    }

    /// Notes that a worker did not answer a hold.
    pub fn miss_report(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.is_polling = false;
            worker.polled_at = now;
            worker.silent_since.get_or_insert(now);
        }
    }

    /// Notes that another incarnation answered at a worker's address: the worker is gone.
    pub fn lose_worker(&mut self, key: WorkerKey, now: Duration) {
        let Some(worker) = self.workers.remove(&key) else {
            return;
        };
        self.departed.insert(worker.row_name());
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        self.unaccounted.remove(&name);
        for task in worker.runs.keys() {
            self.requeue(*task, key);
        }
        log::info!(
            "event=worker-gone pool={} worker={} incarnation={} runs={} at_ms={}",
            self.pool,
            worker.listing.id,
            worker.listing.incarnation,
            worker.runs.len(),
            now.as_millis()
        );
    }

    /// Notes that the instance below a worker was moved or maintained, which ends the worker.
    pub fn end_worker(&mut self, id: &str, now: Duration) {
        let found: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == id)
            .map(|(key, _)| *key)
            .collect();
        for key in found {
            let incarnation = self.workers[&key].listing.incarnation;
            self.ended_workers.insert((id.to_owned(), incarnation));
            self.lose_worker(key, now);
        }
    }

    /// Puts a task back that ran on `worker`, if it still counts as placed there.
    pub(super) fn requeue(&mut self, task: TaskKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let held = job
            .stage_mut(task.occurrence, task.step)
            .and_then(|stage| stage.tasks.get_mut(task.index as usize));
        if let Some(held) = held {
            if held.state == State::Placed(worker) {
                held.state = State::Waiting;
            }
        }
        self.is_placing_due = true;
    }

    /// Takes a run that a worker says is under way.
    fn note_running(&mut self, key: WorkerKey, running: &Running, sent: Duration, now: Duration) {
        let stop = || Action::Stop {
            worker: key,
            task: running.task.to_string(),
            run: running.run,
        };
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let found = self.names.get(&running.task.job).copied();
        let Some((job_key, job)) = found.and_then(|k| Some((k, self.jobs.get_mut(&k)?))) else {
            // A run of no job that is known can't be one that was accepted.
            self.actions.push(stop());
            return;
        };
        let task = TaskKey {
            job: job_key,
            occurrence: running.task.occurrence,
            step: running.task.step,
            index: running.task.index,
        };
        if let Some(run) = worker.runs.get_mut(&task) {
            if run.number == running.run {
                run.is_confirmed = true;
                run.is_reported = true;
                if running.percent != run.percent {
                    run.percent = running.percent;
                    run.moved_at = now;
                }
                if running.percent >= 100.0 {
                    run.serving_since.get_or_insert(now);
                } else {
                    run.serving_since = None;
                }
                return;
            }
            if run.number > running.run {
                return;
            }
        }
        let is_final = job.phase.is_final();
        let step = job.submission.steps.get(task.step as usize).cloned();
        job.has_started = true;
        let held = job
            .stage_mut(task.occurrence, task.step)
            .and_then(|stage| stage.tasks.get_mut(task.index as usize));
        let (Some(held), Some(step)) = (held, step) else {
            self.actions.push(stop());
            return;
        };
        let may_adopt = !is_final && matches!(held.state, State::Unlocated | State::Waiting);
        if may_adopt {
            held.state = State::Placed(key);
            held.run = held.run.max(running.run);
            if !running.checkpoint.is_empty() {
                held.checkpoint.clone_from(&running.checkpoint);
            }
        }
        worker.reserve(
            task,
            Run {
                number: running.run,
                reserved: step.reserved(),
                ordered_at: sent,
                asked_at: sent,
                may_exist: false,
                is_confirmed: true,
                is_reported: true,
                stopping_at: (!may_adopt).then_some(now),
                stop_confirmed_at: None,
                percent: running.percent,
                moved_at: now,
                pace: 100,
                serving_since: (running.percent >= 100.0).then_some(now),
            },
        );
        if !may_adopt {
            self.actions.push(stop());
        }
    }

    /// Asks workers for reports: those that run something, that have not reported in this term,
    /// or whose endings are stored and not acknowledged.
    pub(super) fn poll(&mut self, now: Duration) {
        for (key, worker) in &mut self.workers {
            if worker.is_polling {
                continue;
            }
            let since = now.saturating_sub(worker.polled_at);
            let is_silent = worker.silent_since.is_some();
            // An extension that is not answered must not put the end of the lease off.
            let extends = !worker.runs.is_empty() && !is_silent;
            let is_due = if is_silent {
                since >= self.settings.retry_pause
            } else if worker.stored < worker.applied {
                // The ending's commit is under way; the next report acknowledges it.
                since >= UNSTORED_PAUSE
            } else {
                extends || !worker.is_known || worker.acknowledged < worker.stored
            };
            if !is_due {
                continue;
            }
            worker.is_polling = true;
            let wait = if extends && worker.is_known && !is_silent {
                self.settings.report_wait
            } else {
                Duration::ZERO
            };
            self.actions.push(Action::Hold {
                worker: *key,
                wait,
                extends,
            });
        }
    }

    /// Gives up silent workers whose leases have run out, and forgets those that left.
    pub(super) fn expire_workers(&mut self, now: Duration) {
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.silent_since.is_some() && worker.lease_end <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            let Some(worker) = self.workers.get_mut(&key) else {
                continue;
            };
            worker.is_known = false;
            let runs = std::mem::take(&mut worker.runs);
            worker.used = work::Resources::default();
            let is_listed = worker.is_listed;
            let row = worker.row_name();
            for (task, run) in &runs {
                if let Some(job) = self.jobs.get(&task.job) {
                    let name = super::order::task_name(job, *task);
                    worker.doubtful.insert(name, run.number);
                }
            }
            if !runs.is_empty() {
                log::info!(
                    "event=leases-over pool={} worker={} runs={} lease_end_ms={} at_ms={}",
                    self.pool,
                    worker.listing.id,
                    runs.len(),
                    worker.lease_end.as_millis(),
                    now.as_millis()
                );
            }
            for task in runs.keys() {
                self.requeue(*task, key);
            }
            if !is_listed {
                self.workers.remove(&key);
                self.departed.insert(row);
            }
        }
        let left: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.is_listed && worker.runs.is_empty())
            .filter(|(_, worker)| worker.lease_end <= now && !worker.is_polling)
            .filter(|(_, worker)| worker.is_known && worker.acknowledged >= worker.applied)
            .map(|(key, _)| *key)
            .collect();
        for key in left {
            if let Some(worker) = self.workers.remove(&key) {
                self.departed.insert(worker.row_name());
            }
        }
    }
}
