use super::key::home_among;
use hyssop_model::prelude::*;

/// Is one epoch as a home remembers it.
#[derive(Clone, Debug)]
struct Past {
    number: u64,
    members: Vec<entry::Id>,
    /// The wall clock from which this entry acts in the epoch, in milliseconds.
    acts_from_ms: Option<u64>,
}

/// Remembers the latest epochs, to tell since when this entry knows every grant of a key.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    past: Vec<Past>,
}

const KEPT_EPOCHS: usize = 256;

impl History {
    /// Begins an epoch, in which this entry does not act yet.
    pub(crate) fn begin(&mut self, epoch: &epoch::Record) {
        self.past.push(Past {
            number: epoch.number,
            members: epoch.members.iter().map(|member| member.id).collect(),
            acts_from_ms: None,
        });
        if self.past.len() > KEPT_EPOCHS {
            self.past.remove(0);
        }
    }

    /// Returns the members of the present epoch.
    pub(crate) fn members(&self) -> &[entry::Id] {
        self.past.last().map_or(&[], |past| &past.members)
    }

    /// Notes that this entry acts in the present epoch from now on.
    pub(crate) fn act(&mut self, wall_ms: u64) {
        if let Some(past) = self.past.last_mut() {
            past.acts_from_ms.get_or_insert(wall_ms);
        }
    }

    /// Returns the wall clock from which this entry, without a gap, was the home of a key and acted
    /// as such, or `None` when it does not act as its home now.
    pub(crate) fn home_since(&self, own: entry::Id, key: &str) -> Option<u64> {
        let mut since_ms = None;
        let mut next_number = None;
        for past in self.past.iter().rev() {
            // Another entry may have been the home in an epoch that this one never saw.
            let is_gap = next_number.is_some_and(|next| past.number + 1 != next);
            if is_gap || home_among(key, past.members.iter().copied()) != Some(own) {
                break;
            }
            next_number = Some(past.number);
            since_ms = past.acts_from_ms.or(since_ms);
        }
        since_ms
    }
}
