use super::worker::{row_name, IN_FLIGHT};
use super::{Scheduler, Worker, WorkerKey};
use std::time::Duration;
use strum::Display;

/// How long after the registry was read a live worker may still be missing from it: the platform
/// restores entries that expired during an outage of its store within about two seconds.
const RELISTING_TIME: Duration = Duration::from_millis(2_500);

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
        for ((id, incarnation), lease_end) in &self.unreported_workers {
            if now < *lease_end {
                continue;
            }
            let worker = self
                .worker_key(id, *incarnation)
                .and_then(|key| self.workers.get(&key));
            let reason = match worker {
                Some(worker) => {
                    let is_silent =
                        worker.unreachable_since.is_some() && worker.polled_at >= *lease_end;
                    is_silent.then_some(Reason::Unreachable)
                }
                None => (now >= registry_read_at + RELISTING_TIME).then_some(Reason::Unlisted),
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
        let lease_end = self.unreported_workers.get(&name).copied();
        lease_end.unwrap_or(Duration::ZERO)
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
            self.remove_unreported(&previous, Reason::Replaced, now);
            if !has_reported {
                let lease_end = self.predecessor_end + IN_FLIGHT + self.settings.max_lease_span();
                self.unreported_workers.insert(name.clone(), lease_end);
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
        if self.worker_key(id, *incarnation).is_none() {
            self.removed_workers.insert(row_name(id, *incarnation));
        }
        log::info!(
            "event=worker-recovered pool={} term={} worker={id} incarnation={incarnation} \
             reason={reason} left={} after_ms={}",
            self.pool,
            self.term,
            self.unreported_workers.len(),
            now.saturating_sub(self.recovered_at).as_millis()
        );
    }
}
