use super::Settings;
use hyssop_model::prelude::*;
use hyssop_wire::claim::{End, Settlement};

/// A claim request without a reply yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub(crate) request: request::Key,
    pub(crate) key: String,
    pub(crate) home: entry::Id,
    deadline: Instant,
}

/// The outcome of a granted request, not acknowledged by the key's home yet.
#[derive(Clone, Debug)]
struct Unsettled {
    home: entry::Id,
    settlement: Settlement,
    send_at: Instant,
    expires_at: Instant,
}

/// The claims that this entry makes: pending requests to other homes, grants and settlements.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutgoingClaims {
    last_id: u64,
    pending: BTreeMap<u64, PendingClaim>,
    grants: BTreeMap<request::Key, (u64, String, entry::Id)>,
    unsettled: BTreeMap<u64, Unsettled>,
}

impl OutgoingClaims {
    /// Returns a new claim request ID.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Inserts a claim request sent to a home.
    pub(crate) fn insert_pending(
        &mut self,
        now: Instant,
        id: u64,
        request: request::Key,
        key: &str,
        home: entry::Id,
        settings: &Settings,
    ) {
        let pending = PendingClaim {
            request,
            key: key.to_owned(),
            home,
            deadline: now + settings.request_timeout,
        };
        self.pending.insert(id, pending);
    }

    /// Removes the claim request that a reply answers; returns `None` for a duplicate reply.
    pub(crate) fn remove_pending(&mut self, id: u64, from: entry::Id) -> Option<PendingClaim> {
        let is_from_home = self
            .pending
            .get(&id)
            .is_some_and(|pending| pending.home == from);
        if is_from_home {
            self.pending.remove(&id)
        } else {
            None
        }
    }

    /// Records that a request was granted.
    pub(crate) fn add_grant(&mut self, id: u64, request: request::Key, key: &str, home: entry::Id) {
        self.grants.insert(request, (id, key.to_owned(), home));
    }

    /// Returns whether there is a grant or a settlement for a claim request ID.
    pub(crate) fn has_grant_or_settlement(&self, id: u64) -> bool {
        self.unsettled.contains_key(&id)
            || self.grants.values().any(|(granted, _, _)| *granted == id)
    }

    /// Removes the grant of a request that ended.
    pub(crate) fn pop_grant(&mut self, request: request::Key) -> Option<(u64, String, entry::Id)> {
        self.grants.remove(&request)
    }

    /// Removes and returns the claim requests that timed out.
    pub(crate) fn remove_overdue(&mut self, now: Instant) -> Vec<(u64, PendingClaim)> {
        let overdue = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now);
        let ids: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        let removed = ids
            .into_iter()
            .filter_map(|id| Some((id, self.pending.remove(&id)?)));
        removed.collect()
    }

    /// Inserts a settlement, which is resent until its home acknowledges it.
    pub(crate) fn insert_settlement(
        &mut self,
        now: Instant,
        id: u64,
        key: &str,
        home: entry::Id,
        end: End,
        settings: &Settings,
    ) {
        let settlement = Settlement {
            id,
            key: key.to_owned(),
            end,
        };
        let unsettled = Unsettled {
            home,
            settlement,
            send_at: now,
            expires_at: now + settings.retention,
        };
        self.unsettled.insert(id, unsettled);
    }

    /// Removes a settlement that was acknowledged.
    pub(crate) fn acknowledge_settlement(&mut self, id: u64) {
        self.unsettled.remove(&id);
    }

    /// Returns the settlements due for sending, with their receivers.
    pub(crate) fn due_settlements(
        &mut self,
        now: Instant,
        settings: &Settings,
        successor: impl Fn(entry::Id, &str) -> entry::Id,
    ) -> Vec<(entry::Id, Settlement)> {
        self.unsettled
            .retain(|_, unsettled| unsettled.expires_at > now);
        let mut due = Vec::new();
        for unsettled in self.unsettled.values_mut() {
            if unsettled.send_at <= now {
                unsettled.send_at = now + settings.resend_interval;
                due.push((
                    successor(unsettled.home, &unsettled.settlement.key),
                    unsettled.settlement.clone(),
                ));
            }
        }
        due
    }

    /// Returns whether a claim request, a grant or a settlement is outstanding.
    pub(crate) fn is_busy(&self) -> bool {
        !(self.pending.is_empty() && self.grants.is_empty() && self.unsettled.is_empty())
    }
}
