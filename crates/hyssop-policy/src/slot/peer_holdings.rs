use hyssop_model::prelude::*;
use hyssop_wire::slot::{HeldSlots, Mask};

/// The slots that previous homes may still hold after a change of epoch.
///
/// A slot that this entry gained may be used once every other member has reported in this epoch
/// that it does not hold the slot, and every retired member has reported the same or its
/// quarantine is over.
#[derive(Debug, Default)]
pub(crate) struct PeerHoldings {
    members: BTreeSet<entry::Id>,
    /// The time until which each retired member may still have requests in flight.
    retired: BTreeMap<entry::Id, Instant>,
    /// The slots that each peer reported as held in the current epoch.
    reported: BTreeMap<entry::Id, BTreeMap<instance::Key, Mask>>,
}

impl PeerHoldings {
    /// Resets the reports for `epoch`, and starts the quarantine of the removed members.
    pub(crate) fn begin_epoch(
        &mut self,
        own: entry::Id,
        epoch: &epoch::Record,
        quarantine_end: Instant,
    ) {
        let members: BTreeSet<entry::Id> = epoch.members.iter().map(|member| member.id).collect();
        let removed = self.members.difference(&members).copied();
        let retired: BTreeSet<entry::Id> = removed
            .chain(epoch.retired.iter().map(|retired| retired.id))
            .collect();
        for id in retired {
            if id != own {
                self.retired.entry(id).or_insert(quarantine_end);
            }
        }
        self.retired.retain(|id, _| !members.contains(id));
        self.members = members;
        self.members.remove(&own);
        self.reported.clear();
    }

    /// Records the slots that `from` reported as held in the current epoch.
    pub(crate) fn on_status(&mut self, from: entry::Id, held: &[HeldSlots]) {
        let held = held.iter().map(|held| (held.instance, held.slots));
        self.reported.insert(from, held.collect());
    }

    /// Returns the slots of `instance` that another entry may still hold.
    pub(crate) fn blocked(&self, now: Instant, instance: instance::Key) -> Mask {
        let mut blocked = Mask::EMPTY;
        let retired = self
            .retired
            .iter()
            .filter(|(_, quarantine_end)| **quarantine_end > now);
        for id in self.members.iter().chain(retired.map(|(id, _)| id)) {
            match self.reported.get(id) {
                None => return !Mask::EMPTY,
                Some(held) => blocked = blocked | held.get(&instance).copied().unwrap_or_default(),
            }
        }
        blocked
    }

    /// Returns whether a retired member can no longer have requests in flight.
    pub(crate) fn is_quarantine_over(&self, now: Instant, id: entry::Id) -> bool {
        self.retired
            .get(&id)
            .is_some_and(|quarantine_end| *quarantine_end <= now)
    }
}
