use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::notice::Promise;

/// The authority of this entry to grant unbound keys: its lease, or its peers' promises.
///
/// While the table service is down, no lease can be renewed and the epoch can't change. A home then
/// keeps granting while every peer of its epoch promises not to become active in a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Authority {
    lease_expires_at: Option<Instant>,
    last_id: u64,
    sent: BTreeMap<u64, Instant>,
    /// The time until which each peer has promised not to become active in a newer epoch.
    promised: BTreeMap<entry::Id, Instant>,
    next_request_at: Option<Instant>,
}

impl Authority {
    pub(crate) fn extend_lease(&mut self, expires_at: Instant) {
        self.lease_expires_at = Some(
            self.lease_expires_at
                .map_or(expires_at, |old| old.max(expires_at)),
        );
    }

    /// Discards the promises of the previous epoch.
    pub(crate) fn clear_promises(&mut self) {
        self.promised.clear();
        self.sent.clear();
    }

    /// Returns whether unbound keys may be granted now.
    pub(crate) fn is_valid(&self, now: Instant, peers: &[entry::Id], settings: &Settings) -> bool {
        let Some(lease_expires_at) = self.lease_expires_at else {
            return false;
        };
        if now < lease_expires_at {
            return true;
        }
        let is_promised = |peer| self.promised.get(peer).is_some_and(|until| now < *until);
        now < lease_expires_at + settings.max_outage && peers.iter().all(is_promised)
    }

    /// Returns the time until which this entry may use its slots, by its lease or by the promise
    /// of any reachable peer. A sole member has no peers and may always continue.
    ///
    /// This is weaker than [`is_valid`](Self::is_valid): while the table service is down, the loss
    /// of one peer must not stop all serving.
    pub(crate) fn slots_usable_until(
        &self,
        now: Instant,
        peers: &[entry::Id],
        settings: &Settings,
    ) -> Option<Instant> {
        let lease_expires_at = self.lease_expires_at?;
        if peers.is_empty() {
            return Some(now + settings.promise_duration);
        }
        let promised = self
            .promised
            .iter()
            .filter(|(peer, _)| peers.contains(peer));
        Some(
            promised
                .map(|(_, until)| *until)
                .fold(lease_expires_at, Instant::max),
        )
    }

    /// Returns a request for promises if one is due and the lease has expired or is about to.
    pub(crate) fn due_promise_request(
        &mut self,
        now: Instant,
        epoch: u64,
        settings: &Settings,
    ) -> Option<Promise> {
        let is_leased = self
            .lease_expires_at
            .is_some_and(|expires_at| now + settings.promise_duration * 2 / 3 < expires_at);
        let is_too_early = self.next_request_at.is_some_and(|due| now < due);
        if self.lease_expires_at.is_none() || is_leased || is_too_early {
            return None;
        }
        self.next_request_at = Some(now + settings.promise_interval);
        self.last_id += 1;
        self.sent.insert(self.last_id, now);
        self.sent
            .retain(|_, sent| *sent + settings.promise_duration > now);
        Some(Promise {
            epoch,
            id: self.last_id,
            duration_ms: None,
        })
    }

    /// Records a promise, which counts from the time its request was sent.
    pub(crate) fn insert_promise(&mut self, from: entry::Id, id: u64, duration: Duration) {
        let Some(sent) = self.sent.get(&id) else {
            return;
        };
        let until = *sent + duration;
        let promised = self.promised.entry(from).or_insert(until);
        *promised = (*promised).max(until);
    }
}
