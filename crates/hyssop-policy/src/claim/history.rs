use super::key::home_among;
use hyssop_model::prelude::*;

/// An epoch and when this entry became active in it.
#[derive(Clone, Debug)]
struct KnownEpoch {
    number: u64,
    members: Vec<entry::Id>,
    /// The wall clock from which this entry is active in the epoch, in milliseconds.
    active_from_ms: Option<u64>,
}

/// The latest epochs, which determine since when this entry has been the home of a key and therefore
/// knows every grant of the key.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    epochs: Vec<KnownEpoch>,
}

const MAX_EPOCHS: usize = 256;

impl History {
    /// Begins an epoch, in which this entry is not active yet.
    pub(crate) fn begin(&mut self, epoch: &epoch::Record) {
        self.epochs.push(KnownEpoch {
            number: epoch.number,
            members: epoch.members.iter().map(|member| member.id).collect(),
            active_from_ms: None,
        });
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.remove(0);
        }
    }

    /// Returns the members of the current epoch.
    pub(crate) fn members(&self) -> &[entry::Id] {
        self.epochs.last().map_or(&[], |known| &known.members)
    }

    /// Marks this entry as active in the current epoch from now on.
    pub(crate) fn activate(&mut self, wall_ms: u64) {
        if let Some(known) = self.epochs.last_mut() {
            known.active_from_ms.get_or_insert(wall_ms);
        }
    }

    /// Returns the wall clock, in milliseconds, at which this entry first became active as the home
    /// of a key, over the consecutive epochs up to the current one in which it is the home.
    ///
    /// Returns `None` if it is not the home now or has been active in none of these epochs.
    pub(crate) fn home_since(&self, own: entry::Id, key: &str) -> Option<u64> {
        let mut since_ms = None;
        let mut next_number = None;
        for known in self.epochs.iter().rev() {
            // Another entry may have been the home in an epoch that this entry did not receive.
            let is_gap = next_number.is_some_and(|next| known.number + 1 != next);
            if is_gap || home_among(key, known.members.iter().copied()) != Some(own) {
                break;
            }
            next_number = Some(known.number);
            since_ms = known.active_from_ms.or(since_ms);
        }
        since_ms
    }
}
