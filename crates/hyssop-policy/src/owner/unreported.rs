use super::job::State;
use super::worker::{row_name, Stretch};
use super::{Scheduler, TaskKey, Worker, WorkerKey};
use std::collections::BTreeSet;
use std::time::Duration;
use strum::Display;

/// How long after the registry was read a live worker may still be missing from it: the platform
/// restores entries that expired during an outage of its store within about two seconds.
pub(super) const RELISTING_TIME: Duration = Duration::from_millis(2_500);

/// A worker of an earlier term that has not reported in this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Unreported {
    /// When its leases have certainly expired.
    pub(super) lease_end: Duration,
    /// Until when it may return to the registry although it isn't listed, `None` if it was listed
    /// or may have been when the registry was last read.
    pub(super) may_return_until: Option<Duration>,
    /// Until when the fleet's owner may shut it down.
    pub(super) released_until: Duration,
    /// Whether it took the place of a previous incarnation.
    pub(super) is_successor: bool,
    /// The tasks that it may run, `None` if any task may run there.
    pub(super) tasks: Option<BTreeSet<TaskKey>>,
    /// The tasks that the previous owner ordered to stop.
    pub(super) stopping: BTreeSet<TaskKey>,
}

impl Unreported {
    /// Creates a worker that may run any task until `lease_end`.
    pub(super) fn unknown(lease_end: Duration, is_successor: bool) -> Self {
        Self {
            lease_end,
            may_return_until: None,
            released_until: Duration::ZERO,
            is_successor,
            tasks: None,
            stopping: BTreeSet::new(),
        }
    }

    /// Returns what holds if the worker may run the tasks of both.
    fn join(mut self, other: Self) -> Self {
        self.lease_end = self.lease_end.max(other.lease_end);
        self.released_until = self.released_until.max(other.released_until);
        self.tasks = self.tasks.zip(other.tasks).map(|(mut tasks, others)| {
            tasks.extend(others);
            tasks
        });
        self.stopping.extend(other.stopping);
        self
    }

    /// Returns until when it may return to the registry, which was read at `registry_read_at` and
    /// doesn't list it.
    pub(super) fn returns_until(&self, registry_read_at: Duration) -> Duration {
        self.may_return_until
            .unwrap_or(registry_read_at + RELISTING_TIME)
    }

    /// Returns whether it is known which tasks it may run.
    pub(super) fn is_known(&self) -> bool {
        self.tasks.is_some()
    }
}

/// Why recovery no longer waits for a worker of an earlier term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Reason {
    /// It has reported all its runs and completions.
    Reported,
    /// Its leases have expired, and the registry has not listed it.
    Unlisted,
    /// Its leases have expired, and it does not answer.
    Unreachable,
    /// A later incarnation has taken its place.
    Replaced,
    /// Its instance was shut down, or another worker answers at its address.
    Terminated,
}

impl Scheduler {
    /// Notes that all workers of a complete reading of the registry have been registered.
    pub fn on_registry_snapshot(&mut self, now: Duration) {
        if self.registry_read_at.is_none() {
            self.registry_read_at = Some(now);
            log::info!(
                "event=registry-read pool={} term={} workers={} unreported={} after_ms={}",
                self.pool,
                self.term,
                self.workers.len(),
                self.unreported_workers.len(),
                now.saturating_sub(self.recovered_at).as_millis()
            );
        }
    }

    /// Stops waiting for workers of an earlier term that can neither run tasks nor report any more.
    ///
    /// The expiry of a worker's leases is computed from what its previous owner was entitled to.
    /// A worker that runs tasks for longer, or whose completions are not acknowledged, can still
    /// report them, so it also gets the chance to: it is waited for until the registry has been
    /// read and doesn't list it, or until its latest report failed after its leases had expired.
    /// Each poll ends within the wait and a timeout and is repeated soon, so a dead worker is
    /// waited for only that much longer. Until the registry is read, no worker can be used.
    pub(super) fn end_unreported_workers(&mut self, now: Duration) {
        let Some(registry_read_at) = self.registry_read_at else {
            return;
        };
        let mut ended = Vec::new();
        for ((id, incarnation), unreported) in &self.unreported_workers {
            let lease_end = unreported.lease_end;
            if now < lease_end {
                continue;
            }
            let worker = self
                .worker_key(id, *incarnation)
                .and_then(|key| self.workers.get(&key));
            let reason = match worker {
                Some(worker) => {
                    let is_silent =
                        worker.unreachable_since.is_some() && worker.polled_at >= lease_end;
                    is_silent.then_some(Reason::Unreachable)
                }
                None => {
                    let until = unreported.returns_until(registry_read_at);
                    (now >= until).then_some(Reason::Unlisted)
                }
            };
            if let Some(reason) = reason {
                ended.push(((id.clone(), *incarnation), reason));
            }
        }
        for (name, reason) in ended {
            self.remove_unreported(&name, reason, now);
        }
    }

    /// Stops waiting for a worker that has reported all its runs and completions.
    pub(super) fn on_complete_report(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get(&key) {
            let name = (worker.listing.id.clone(), worker.listing.incarnation);
            self.remove_unreported(&name, Reason::Reported, now);
            // No other incarnation of a worker lives that has answered in this term.
            for other in self.unreported_incarnations(&name.0, |_| true) {
                self.remove_unreported(&other, Reason::Replaced, now);
            }
        }
    }

    /// Stops waiting for a worker that no longer exists.
    pub(super) fn on_unreported_terminated(&mut self, name: &(String, i64), now: Duration) {
        self.remove_unreported(name, Reason::Terminated, now);
    }

    /// Returns whether a worker may have runs of an earlier term that it has not reported.
    pub(super) fn is_unreported(&self, worker: &Worker) -> bool {
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        !worker.has_reported && self.unreported_workers.contains_key(&name)
    }

    /// Returns when the leases that an earlier owner granted to a worker have certainly expired; zero
    /// if there are none.
    ///
    /// Until then the worker's row is kept, even if it is neither listed nor reachable.
    pub(super) fn inherited_lease_end(&self, worker: &Worker) -> Duration {
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        let unreported = self.unreported_workers.get(&name);
        unreported.map_or(Duration::ZERO, |unreported| unreported.lease_end)
    }

    /// Returns until when leases may last that orders of an earlier owner to a worker's previous
    /// incarnation have granted, `None` if it took no other's place.
    pub(super) fn inherited_stretch(&self, worker: &Worker) -> Option<Duration> {
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        let unreported = self.unreported_workers.get(&name)?;
        unreported.is_successor.then_some(unreported.lease_end)
    }

    /// Returns until when the fleet's owner may shut a worker down by the previous owner's release,
    /// `None` if there is none.
    pub(super) fn inherited_release(&self, worker: &Worker) -> Option<Duration> {
        let name = (worker.listing.id.clone(), worker.listing.incarnation);
        let unreported = self.unreported_workers.get(&name)?;
        (!unreported.released_until.is_zero()).then_some(unreported.released_until)
    }

    /// Waits for a worker's new incarnation instead of recorded previous ones, since a start that the
    /// previous owner sent may have reached it.
    ///
    /// The lease of such a start ends at a time on the clock of the previous incarnation, which was
    /// ahead, so only the bound that workers set to a lease counts.
    pub(super) fn replace_unreported(
        &mut self,
        name: &(String, i64),
        is_previous: impl Fn(i64) -> bool,
        now: Duration,
    ) {
        let has_reported = self
            .worker_key(&name.0, name.1)
            .and_then(|key| self.workers.get(&key))
            .is_some_and(|worker| worker.has_reported);
        for previous in self.unreported_incarnations(&name.0, is_previous) {
            let known = self.unreported_workers.get(&previous).cloned();
            self.remove_unreported(&previous, Reason::Replaced, now);
            if let (false, Some(known)) = (has_reported, known) {
                let span = self.settings.stretched_lease_span(Stretch::InFlight);
                let lease_end = self.predecessor_end + span;
                let next = Unreported {
                    lease_end,
                    may_return_until: None,
                    is_successor: true,
                    ..known
                };
                let next = match self.unreported_workers.remove(name) {
                    Some(other) => next.join(other),
                    None => next,
                };
                self.unreported_workers.insert(name.clone(), next);
            }
        }
    }

    /// Returns the unreported incarnations of a worker that meet `is_wanted`.
    pub(super) fn unreported_incarnations(
        &self,
        id: &str,
        is_wanted: impl Fn(i64) -> bool,
    ) -> Vec<(String, i64)> {
        self.unreported_workers
            .keys()
            .filter(|(other, incarnation)| other == id && is_wanted(*incarnation))
            .cloned()
            .collect()
    }

    /// Removes a worker from those that are waited for, and deletes its row if it is not registered:
    /// otherwise each later owner would wait for its leases again. A registered worker may be given
    /// tasks, and its row is deleted when it is removed.
    fn remove_unreported(&mut self, name: &(String, i64), reason: Reason, now: Duration) {
        if self.unreported_workers.remove(name).is_none() {
            return;
        }
        let (id, incarnation) = name;
        self.is_requeue_due = true;
        self.forget_row(id, *incarnation);
        log::info!(
            "event=worker-recovered pool={} term={} worker={id} incarnation={incarnation} \
             reason={reason} left={} after_ms={}",
            self.pool,
            self.term,
            self.unreported_workers.len(),
            now.saturating_sub(self.recovered_at).as_millis()
        );
    }

    /// Deletes the row of an incarnation that is not registered.
    pub(super) fn forget_row(&mut self, id: &str, incarnation: i64) {
        if self.worker_key(id, incarnation).is_none() {
            self.removed_workers.insert(row_name(id, incarnation));
        }
    }

    /// Takes the orphaned tasks for not running that no unreported worker may run; returns their
    /// number.
    pub(super) fn requeue_unheld_tasks(&mut self, now: Duration) -> usize {
        if !std::mem::take(&mut self.is_requeue_due) {
            return 0;
        }
        if !self.unreported_workers.values().all(Unreported::is_known) {
            return 0;
        }
        let held: BTreeSet<TaskKey> = self
            .unreported_workers
            .values()
            .flat_map(|unreported| unreported.tasks.iter().flatten().copied())
            .collect();
        let mut requeued = 0;
        for key in self.open_jobs.clone() {
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            let before = requeued;
            for (task, entry) in job.tasks_mut(key) {
                if entry.state == State::Orphaned && !held.contains(&task) {
                    entry.state = State::Waiting;
                    requeued += 1;
                }
            }
            if requeued > before {
                self.is_placement_due = true;
                self.finish_occurrences(key, now);
            }
        }
        requeued
    }
}
