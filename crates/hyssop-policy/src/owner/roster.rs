use super::job::State;
use super::worker::Run;
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
        let doubting = self.workers.iter().find(|(_, worker)| {
            worker.listing.id == listing.id
                && !worker.has_departed
                && worker.doubts(listing.incarnation)
        });
        if let Some(key) = doubting.map(|(key, _)| *key) {
            self.dispute_incarnation(key, listing, now);
            return;
        }
        let is_previous = |incarnation: i64| incarnation < listing.incarnation;
        self.replace_unreported(&name, is_previous, now);
        let interruption = self.interruption(&listing.instance);
        let strays = self.replace_incarnations(&listing.id, is_previous, now);
        self.insert_incarnation(listing, interruption, strays, now);
    }

    /// Records that the registry lists another incarnation than the known one, whose next report
    /// decides: a worker's clock may have been set back before it started again.
    fn dispute_incarnation(&mut self, key: WorkerKey, listing: work::Worker, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let is_known = worker
            .rival
            .as_ref()
            .is_some_and(|rival| rival.incarnation == listing.incarnation);
        if !is_known {
            log::info!(
                "event=registration-disputed pool={} worker={} incarnation={} listed={} at_ms={}",
                self.pool,
                listing.id,
                worker.listing.incarnation,
                listing.incarnation,
                now.as_millis()
            );
            worker.disputed_at = Some(now);
        }
        worker.rival = Some(listing);
    }

    /// Replaces a worker's known incarnation by the one that has reported, to a renewal that
    /// acknowledged completions up to number `acknowledged`.
    ///
    /// Its labels and capacity are unknown until the registry lists it, unless it has done so.
    pub(super) fn on_other_incarnation(
        &mut self,
        key: WorkerKey,
        incarnation: i64,
        acknowledged: u64,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let name = (worker.listing.id.clone(), incarnation);
        if self.terminated_workers.contains(&name) {
            worker.unreachable_since.get_or_insert(now);
            return;
        }
        let previous = worker.listing.clone();
        let rival = worker.rival.take();
        let listed = rival.filter(|rival| rival.incarnation == incarnation);
        let is_listed = listed.is_some();
        let listing = listed.unwrap_or_else(|| work::Worker {
            incarnation,
            ..previous.clone()
        });
        let is_previous = |other| other != incarnation;
        self.replace_unreported(&name, is_previous, now);
        let interruption = self.interruption(&listing.instance);
        let strays = self.replace_incarnations(&name.0, is_previous, now);
        if acknowledged > 0 && !strays.is_empty() {
            log::warn!(
                "event=completions-lost pool={} worker={} incarnation={incarnation} \
                 acknowledged={acknowledged} runs={} reason=acknowledged-to-next-incarnation",
                self.pool,
                name.0,
                strays.len()
            );
        }
        self.insert_incarnation(listing, interruption, strays, now);
        let key = self.worker_key(&name.0, incarnation);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.is_listed &= is_listed;
            worker.rival = Some(previous);
        }
    }

    /// Inserts a worker's incarnation or updates its registration.
    fn insert_incarnation(
        &mut self,
        listing: work::Worker,
        interruption: Interruption,
        strays: Vec<Stray>,
        now: Duration,
    ) {
        if listing.pool != self.pool {
            self.deregister_worker(&listing.id);
            if !strays.is_empty() {
                self.insert_departed_worker(listing, strays, now);
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
        let key = self.insert_worker(Worker {
            evacuating_until: interruption.evacuating_until,
            released_until: interruption.released_until,
            maintenance_due_until: interruption.maintenance_due_until,
            ..Worker::new(listing)
        });
        self.assign_strays(key, strays, now);
    }

    /// Returns what the fleet's owner intends for an instance. It concerns the instance, whichever
    /// worker runs there.
    fn interruption(&self, instance: &str) -> Interruption {
        let workers = self.workers.values().filter(|worker| {
            !instance.is_empty() && worker.listing.instance == instance && !worker.has_departed
        });
        workers.fold(Interruption::default(), |known, worker| Interruption {
            evacuating_until: known.evacuating_until.max(worker.evacuating_until),
            released_until: known.released_until.max(worker.released_until),
            maintenance_due_until: known
                .maintenance_due_until
                .max(worker.maintenance_due_until),
        })
    }

    fn insert_worker(&mut self, mut worker: Worker) -> WorkerKey {
        let key = WorkerKey(self.next_worker);
        self.next_worker += 1;
        worker.lease_end = worker.lease_end.max(self.inherited_lease_end(&worker));
        self.removed_workers.remove(&worker.row_name());
        self.workers.insert(key, worker);
        key
    }

    /// Keeps the tasks that a worker may run although it has joined another pool, until their leases
    /// have expired.
    ///
    /// It is not polled: the fencing token of this pool's owner means nothing to the other's.
    fn insert_departed_worker(&mut self, listing: work::Worker, strays: Vec<Stray>, now: Duration) {
        let worker = Worker {
            is_listed: false,
            has_departed: true,
            unreachable_since: Some(now),
            ..Worker::new(listing)
        };
        let key = self.insert_worker(worker);
        self.assign_strays(key, strays, now);
    }

    /// Removes the previous incarnations of a worker and returns their runs that may have started on
    /// the new incarnation, which has the same identifier.
    ///
    /// All other runs of them are gone.
    fn replace_incarnations(
        &mut self,
        id: &str,
        is_previous: impl Fn(i64) -> bool,
        now: Duration,
    ) -> Vec<Stray> {
        let previous: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.listing.id == id)
            .filter(|(_, worker)| is_previous(worker.listing.incarnation))
            .map(|(key, _)| *key)
            .collect();
        let mut strays = Vec::new();
        for key in previous {
            let Some(worker) = self.workers.get_mut(&key) else {
                continue;
            };
            let tasks: Vec<TaskKey> = worker
                .runs
                .iter()
                .filter(|(_, run)| run.may_reach_next(now))
                .map(|(task, _)| *task)
                .collect();
            for task in tasks {
                if let Some(run) = worker.unreserve(task) {
                    strays.push(Stray {
                        task,
                        run,
                        previous: key,
                    });
                }
            }
            self.remove_worker(key, now);
        }
        strays
    }

    /// Assigns stray runs to the worker's new incarnation, so that their tasks are not started
    /// elsewhere until a report shows what became of them.
    ///
    /// They are not ordered there: only placement gives tasks to an incarnation. Stops are repeated,
    /// so that a start that arrives later is rejected.
    fn assign_strays(&mut self, key: WorkerKey, strays: Vec<Stray>, now: Duration) {
        let max_lease_span = self.settings.max_lease_span();
        for stray in strays {
            let Stray {
                task,
                run,
                previous,
            } = stray;
            if let Some(entry) = self.task_mut(task) {
                if entry.state == State::Placed(previous) {
                    entry.state = State::Placed(key);
                }
            }
            let is_stopping = run.stopping_at.is_some();
            let Some(worker) = self.workers.get_mut(&key) else {
                return;
            };
            if let Some(until) = run.arrives_until() {
                worker.lease_end = worker.lease_end.max(until + max_lease_span);
            }
            worker.reserve(
                task,
                Run {
                    is_stray: true,
                    is_confirmed: false,
                    is_reported: false,
                    stopping_at: None,
                    stop_confirmed_at: None,
                    ..run
                },
            );
            if is_stopping && !worker.has_departed {
                self.stop_task(key, task, now);
            }
        }
    }

    /// Requeues the stray runs that are missing from a report requested after their starts could
    /// last arrive.
    pub(super) fn settle_strays(&mut self, key: WorkerKey, sent_at: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let missing: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_stray)
            .filter(|(_, run)| run.arrives_until().is_none_or(|until| until <= sent_at))
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

/// A run whose start was sent to a previous incarnation of a worker.
struct Stray {
    task: TaskKey,
    run: Run,
    previous: WorkerKey,
}

/// The ends of the periods in which the fleet's owner may shut down an instance or wants it empty.
#[derive(Default)]
struct Interruption {
    evacuating_until: Option<Duration>,
    released_until: Option<Duration>,
    maintenance_due_until: Option<Duration>,
}
