use super::job::State;
use super::worker::Run;
use super::{Scheduler, TaskKey, Worker, WorkerKey};
use hyssop_model::work;
use std::time::Duration;

/// The longest time that an order can be in flight; after it, the order has arrived or its
/// connection is broken.
const IN_FLIGHT: Duration = Duration::from_millis(700);

impl Scheduler {
    /// Registers a worker or updates its registration. A new incarnation under the same identifier
    /// proves that the previous one no longer exists.
    pub fn register_worker(&mut self, listing: work::Worker, now: Duration) {
        // The wait passes to this incarnation before its earlier ones are removed.
        self.replace_unreported(&listing, now);
        let inherited = self.replace_incarnation(&listing, now);
        if listing.pool != self.pool {
            self.deregister_worker(&listing.id);
            return;
        }
        if self
            .terminated_workers
            .contains(&(listing.id.clone(), listing.incarnation))
        {
            return;
        }
        self.is_placement_due = true;
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
        worker.lease_end = self.inherited_lease_end(&worker);
        for (task, run, lease_end) in inherited {
            worker.lease_end = worker.lease_end.max(lease_end);
            if let Some(entry) = self.task_mut(task) {
                entry.state = State::Placed(key);
            }
            worker.reserve(task, run);
        }
        self.removed_workers.remove(&worker.row_name());
        self.workers.insert(key, worker);
    }

    /// Removes the previous incarnations of a worker.
    ///
    /// Runs that one of their reports has listed are gone. A start that no report has listed may
    /// have reached the new incarnation, which has the same identifier. Such runs are returned with
    /// the expiry times of their leases, and reconciled by the first report of the new incarnation.
    fn replace_incarnation(
        &mut self,
        listing: &work::Worker,
        now: Duration,
    ) -> Vec<(TaskKey, Run, Duration)> {
        let previous: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == listing.id)
            .filter(|(_, worker)| worker.listing.incarnation != listing.incarnation)
            .map(|(key, _)| *key)
            .collect();
        let is_same_pool = listing.pool == self.pool;
        let mut inherited = Vec::new();
        for key in previous {
            let unreported: Vec<TaskKey> = self.workers[&key]
                .runs
                .iter()
                .filter(|(_, run)| is_same_pool && !run.is_reported && run.stopping_at.is_none())
                .map(|(task, _)| *task)
                .collect();
            for task in unreported {
                let Some(worker) = self.workers.get_mut(&key) else {
                    continue;
                };
                let lease_end = worker.lease_end;
                if let Some(mut run) = worker.unreserve(task) {
                    run.is_confirmed = false;
                    run.may_have_started = true;
                    inherited.push((task, run, lease_end));
                }
            }
            self.remove_worker(key, now);
        }
        inherited
    }

    /// Requeues the inherited runs that are missing from the first report of a new incarnation.
    ///
    /// Starts ordered too shortly before that report are repeated instead, with the same run
    /// number.
    pub(super) fn reconcile_inherited_runs(&mut self, key: WorkerKey, sent_at: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let missing: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| !run.is_reported && run.start_attempted_at + IN_FLIGHT <= sent_at)
            .map(|(task, _)| *task)
            .collect();
        for task in missing {
            if let Some(worker) = self.workers.get_mut(&key) {
                worker.unreserve(task);
            }
            self.requeue(task, key);
        }
    }

    /// Marks a worker as no longer listed by the registry. It may still run its tasks.
    pub fn deregister_worker(&mut self, id: &str) {
        for worker in self.workers.values_mut() {
            if worker.listing.id == id {
                worker.is_listed = false;
            }
        }
    }

    /// Returns the identifiers of the workers that the registry lists for this pool.
    pub fn registered_workers(&self) -> Vec<String> {
        self.workers
            .values()
            .filter(|worker| worker.is_listed)
            .map(|worker| worker.listing.id.clone())
            .collect()
    }

    /// Removes a worker that no longer exists, for example because another incarnation answered at
    /// its address, and requeues its tasks.
    pub fn remove_worker(&mut self, key: WorkerKey, now: Duration) {
        let Some(worker) = self.workers.remove(&key) else {
            return;
        };
        self.removed_workers.insert(worker.row_name());
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        self.on_unreported_terminated(&name, now);
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

    /// Removes a worker whose instance was moved or maintained, which terminates the worker.
    pub fn on_worker_terminated(&mut self, id: &str, now: Duration) {
        let found: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == id)
            .map(|(key, _)| *key)
            .collect();
        for key in found {
            let incarnation = self.workers[&key].listing.incarnation;
            self.terminated_workers.insert((id.to_owned(), incarnation));
            self.remove_worker(key, now);
        }
    }

    /// Requeues a task that ran on `worker`, if it is still assigned to that worker.
    pub(super) fn requeue(&mut self, task: TaskKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let entry = job
            .stage_mut(task.occurrence, task.step)
            .and_then(|stage| stage.tasks.get_mut(task.index as usize));
        if let Some(entry) = entry {
            if entry.state == State::Placed(worker) {
                entry.state = State::Waiting;
            }
        }
        self.is_placement_due = true;
    }

    /// Requeues the tasks of unreachable workers whose leases have expired, and removes unlisted
    /// workers that have nothing left to run or acknowledge.
    pub(super) fn expire_leases(&mut self, now: Duration) {
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.unreachable_since.is_some() && worker.lease_end <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            let Some(worker) = self.workers.get_mut(&key) else {
                continue;
            };
            worker.has_reported = false;
            let runs = std::mem::take(&mut worker.runs);
            worker.used = work::Resources::default();
            let is_listed = worker.is_listed;
            let row = worker.row_name();
            for (task, run) in &runs {
                if let Some(job) = self.jobs.get(&task.job) {
                    let name = super::order::task_name(job, *task);
                    worker.deferred_stops.insert(name, run.number);
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
                self.removed_workers.insert(row);
            }
        }
        let removable: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.is_listed && worker.runs.is_empty())
            .filter(|(_, worker)| worker.lease_end <= now && !worker.is_polling)
            .filter(|(_, worker)| worker.has_reported && worker.acknowledged >= worker.applied)
            .map(|(key, _)| *key)
            .collect();
        for key in removable {
            if let Some(worker) = self.workers.remove(&key) {
                self.removed_workers.insert(worker.row_name());
            }
        }
    }
}
