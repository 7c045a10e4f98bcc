use super::job::State;
use super::worker::Run;
use super::{Owner, TaskKey, Worker, WorkerKey};
use hyssop_model::work;
use std::time::Duration;

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
    pub(super) fn settle_inherited(&mut self, key: WorkerKey, sent_at: Duration) {
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
