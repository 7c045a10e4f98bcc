use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::notice::Promise;

/// Knows whether this entry may grant unbound keys: by its lease, or by its peers' promises.
///
/// While the table service is down nobody's lease can be renewed and no epoch can change. A home
/// then goes on as long as every peer of its epoch keeps promising not to act in a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Authority {
    lease_ends: Option<Instant>,
    last_id: u64,
    sent: BTreeMap<u64, Instant>,
    /// Until when each peer will not act in a newer epoch.
    promised: BTreeMap<entry::Id, Instant>,
    next_request: Option<Instant>,
}

impl Authority {
    pub(crate) fn renew(&mut self, ends: Instant) {
        self.lease_ends = Some(self.lease_ends.map_or(ends, |old| old.max(ends)));
    }

    /// Forgets the promises of an earlier epoch.
    pub(crate) fn forget(&mut self) {
        self.promised.clear();
        self.sent.clear();
    }

    /// Tells whether unbound keys may be granted now.
    pub(crate) fn is_held(&self, now: Instant, peers: &[entry::Id], settings: &Settings) -> bool {
        let Some(lease_ends) = self.lease_ends else {
            return false;
        };
        if now < lease_ends {
            return true;
        }
        let is_promised = |peer| self.promised.get(peer).is_some_and(|until| now < *until);
        now < lease_ends + settings.longest_outage && peers.iter().all(is_promised)
    }

    /// Returns until when this entry may use its slots, by its lease or by the promise of any
    /// reachable peer; a sole member has nobody to ask and goes on.
    ///
    /// This asks for less than [`is_held`](Self::is_held): with the table service down, the loss of
    /// one peer must not stop all serving.
    pub(crate) fn vouched_until(
        &self,
        now: Instant,
        peers: &[entry::Id],
        settings: &Settings,
    ) -> Option<Instant> {
        let lease_ends = self.lease_ends?;
        if peers.is_empty() {
            return Some(now + settings.promise);
        }
        let promised = self
            .promised
            .iter()
            .filter(|(peer, _)| peers.contains(peer));
        Some(
            promised
                .map(|(_, until)| *until)
                .fold(lease_ends, Instant::max),
        )
    }

    /// Returns the request for promises that is due, if the lease ran out.
    pub(crate) fn request(
        &mut self,
        now: Instant,
        epoch: u64,
        settings: &Settings,
    ) -> Option<Promise> {
        let is_leased = self
            .lease_ends
            .is_some_and(|ends| now + settings.promise * 2 / 3 < ends);
        let is_early = self.next_request.is_some_and(|due| now < due);
        if self.lease_ends.is_none() || is_leased || is_early {
            return None;
        }
        self.next_request = Some(now + settings.promise_interval);
        self.last_id += 1;
        self.sent.insert(self.last_id, now);
        self.sent.retain(|_, sent| *sent + settings.promise > now);
        Some(Promise {
            epoch,
            id: self.last_id,
            lasts_ms: None,
        })
    }

    /// Takes in a promise: it lasts from before its request was sent.
    pub(crate) fn accept(&mut self, from: entry::Id, id: u64, lasts: Duration) {
        let Some(sent) = self.sent.get(&id) else {
            return;
        };
        let until = *sent + lasts;
        let promised = self.promised.entry(from).or_insert(until);
        *promised = (*promised).max(until);
    }
}
