use hyssop_model::prelude::*;
use hyssop_wire::slot::{Held, Mask};

/// Knows which slots earlier homes still hold after a change of the epoch.
///
/// A slot that this entry gained is clear once every other member has told, in this epoch, that it
/// does not hold it, and every retired member has told so or has been gone for the quarantine.
#[derive(Debug, Default)]
pub(crate) struct Clearance {
    members: BTreeSet<entry::Id>,
    /// Until when each retired member may still have requests in progress.
    retired: BTreeMap<entry::Id, Instant>,
    /// What each peer told that it holds, in the present epoch.
    told: BTreeMap<entry::Id, BTreeMap<instance::Key, Mask>>,
}

impl Clearance {
    /// Starts over for `epoch`.
    pub(crate) fn adopt(&mut self, own: entry::Id, epoch: &epoch::Record, gone_after: Instant) {
        let members: BTreeSet<entry::Id> = epoch.members.iter().map(|member| member.id).collect();
        let removed = self.members.difference(&members).copied();
        let retired: BTreeSet<entry::Id> = removed
            .chain(epoch.retired.iter().map(|retired| retired.id))
            .collect();
        for id in retired {
            if id != own {
                self.retired.entry(id).or_insert(gone_after);
            }
        }
        self.retired.retain(|id, _| !members.contains(id));
        self.members = members;
        self.members.remove(&own);
        self.told.clear();
    }

    /// Takes in what `from` told in the present epoch.
    pub(crate) fn tell(&mut self, from: entry::Id, held: &[Held]) {
        let held = held.iter().map(|held| (held.instance, held.slots));
        self.told.insert(from, held.collect());
    }

    /// Returns the slots of `instance` that may still be held elsewhere.
    pub(crate) fn blocked(&self, now: Instant, instance: instance::Key) -> Mask {
        let mut blocked = Mask::EMPTY;
        let retired = self
            .retired
            .iter()
            .filter(|(_, gone_after)| **gone_after > now);
        for id in self.members.iter().chain(retired.map(|(id, _)| id)) {
            match self.told.get(id) {
                None => return !Mask::EMPTY,
                Some(held) => blocked = blocked | held.get(&instance).copied().unwrap_or_default(),
            }
        }
        blocked
    }

    /// Tells whether a former member's requests are certainly over.
    pub(crate) fn is_gone(&self, now: Instant, id: entry::Id) -> bool {
        self.retired
            .get(&id)
            .is_some_and(|gone_after| *gone_after <= now)
    }
}
