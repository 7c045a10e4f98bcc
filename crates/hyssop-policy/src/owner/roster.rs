use super::incarnation::{Evidence, Inheritance, Interruption};
use super::job::State;
use super::worker::Stretch;
use super::{Scheduler, TaskKey, Worker, WorkerKey};
use hyssop_model::work;
use std::time::Duration;

impl Scheduler {
    /// Registers a worker or updates its registration. A later incarnation under the same identifier
    /// proves that the previous one no longer exists.
    ///
    /// The registry may be behind, so an earlier incarnation is not believed before the worker itself
    /// reports it.
    pub fn register_worker(&mut self, listing: work::Worker, now: Duration) {
        let name = (listing.id.clone(), listing.incarnation);
        if self.terminated_workers.contains(&name) {
            return;
        }
        let outdated = self.workers.iter().find(|(_, worker)| {
            worker.listing.id == listing.id
                && !worker.has_departed
                && worker.is_outdated(listing.incarnation)
        });
        if let Some(key) = outdated.map(|(key, _)| *key) {
            self.dispute_incarnation(key, listing, now);
            return;
        }
        let is_previous = |incarnation: i64| incarnation < listing.incarnation;
        let succeeds = self.knows_incarnation(&listing.id, is_previous)
            || self.late_orders.contains_key(&listing.id);
        self.replace_unreported(&name, is_previous, now);
        let interruption = self.interruption(&listing.instance);
        let evidence = Evidence::Registered;
        let inheritance = self.replace_incarnations(&listing.id, is_previous, evidence, now);
        self.insert_incarnation(listing, interruption, inheritance, now);
        if succeeds {
            self.record_succession(&name, now);
        }
    }

    /// Inserts a worker's incarnation or updates its registration.
    pub(super) fn insert_incarnation(
        &mut self,
        listing: work::Worker,
        interruption: Interruption,
        inheritance: Inheritance,
        now: Duration,
    ) {
        if listing.pool != self.pool {
            self.deregister_worker(&listing.id);
            if !inheritance.strays.is_empty() {
                self.insert_departed_worker(listing, inheritance, now);
            }
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
        let worker = Worker {
            evacuating_until: interruption.evacuating_until,
            released_until: interruption.released_until,
            maintenance_due_until: interruption.maintenance_due_until,
            ..Worker::new(listing)
        };
        let key = self.insert_worker(worker);
        self.bequeath(key, inheritance, now);
    }

    /// Returns whether an incarnation of a worker that meets `is_wanted` is registered or recorded.
    fn knows_incarnation(&self, id: &str, is_wanted: impl Fn(i64) -> bool) -> bool {
        let is_registered = self
            .workers
            .values()
            .any(|worker| worker.listing.id == id && is_wanted(worker.listing.incarnation));
        is_registered || !self.unreported_incarnations(id, is_wanted).is_empty()
    }

    /// Records that an incarnation took the place of a previous one.
    fn record_succession(&mut self, (id, incarnation): &(String, i64), now: Duration) {
        let key = self.worker_key(id, *incarnation);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.record_succession(now, self.settings.stretched_lease_span(Stretch::Late));
        }
    }

    fn insert_worker(&mut self, mut worker: Worker) -> WorkerKey {
        let key = WorkerKey(self.next_worker);
        self.next_worker += 1;
        worker.stretched_until = worker.stretched_until.max(self.inherited_stretch(&worker));
        worker.lease_end = worker.lease_end.max(self.inherited_lease_end(&worker));
        worker.released_until = worker.released_until.max(self.inherited_release(&worker));
        self.removed_workers.remove(&worker.row_name());
        self.workers.insert(key, worker);
        key
    }

    /// Keeps the tasks that a worker may run although it has joined another pool, until their leases
    /// have expired.
    ///
    /// It is not polled: the fencing token of this pool's owner means nothing to the other's.
    fn insert_departed_worker(
        &mut self,
        listing: work::Worker,
        inheritance: Inheritance,
        now: Duration,
    ) {
        let worker = Worker {
            is_listed: false,
            has_departed: true,
            unreachable_since: Some(now),
            ..Worker::new(listing)
        };
        let key = self.insert_worker(worker);
        self.bequeath(key, inheritance, now);
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
        self.keep_late_orders(worker, now);
    }

    /// Removes a worker whose instance was moved or maintained at `stopped_at`, which terminates the
    /// worker.
    ///
    /// The word may be late, and the next incarnation may have the same identifier: one that has
    /// taken the place of another since then goes on.
    pub fn on_worker_terminated(&mut self, id: &str, stopped_at: Duration, now: Duration) {
        let found: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == id)
            .filter(|(_, worker)| worker.succeeded_at.is_none_or(|at| at <= stopped_at))
            .map(|(key, _)| *key)
            .collect();
        for key in found {
            let incarnation = self.workers[&key].listing.incarnation;
            self.terminated_workers.insert((id.to_owned(), incarnation));
            self.remove_worker(key, now);
        }
    }

    /// Ends an incarnation of a worker whose instance was moved or maintained, which terminates it.
    ///
    /// The word holds whenever it comes: it names no other incarnation. The worker may be known from
    /// a row only, or not at all yet while the registry still lists it.
    pub fn on_incarnation_terminated(&mut self, id: &str, incarnation: i64, now: Duration) {
        let name = (id.to_owned(), incarnation);
        if let Some(key) = self.worker_key(id, incarnation) {
            self.remove_worker(key, now);
        }
        self.on_unreported_terminated(&name, now);
        self.terminated_workers.insert(name);
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
            worker.charges.clear();
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
                self.removed_workers.insert(row);
                if let Some(worker) = self.workers.remove(&key) {
                    self.keep_late_orders(worker, now);
                }
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
                self.keep_late_orders(worker, now);
            }
        }
        self.end_stretched_leases(now);
    }

    /// Records of workers that no lease of the longest kind is left from the orders to a previous
    /// incarnation.
    fn end_stretched_leases(&mut self, now: Duration) {
        for worker in self.workers.values_mut() {
            if worker.stretched_until.is_some_and(|until| until <= now) {
                worker.stretched_until = None;
                worker.is_row_outdated = worker.is_recorded;
            }
        }
    }
}
