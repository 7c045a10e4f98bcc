use crate::entry;
use serde::{Deserialize, Serialize};

/// Is a former member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// The incarnation.
    pub id: entry::Id,
    /// When it was removed, in milliseconds of the writer's wall clock.
    pub removed_ms: u64,
    /// Whether it stopped as planned and handed its claims over.
    pub is_clean: bool,
}

/// Is the membership row of a region, replaced as a whole by compare-and-set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Grows by one with each change.
    pub number: u64,
    /// The members in the order of their joining.
    pub members: Vec<entry::Member>,
    /// The members that left lately; their requests may still be in progress.
    pub retired: Vec<Retired>,
    /// When this epoch was written, in milliseconds of the writer's wall clock.
    pub written_ms: u64,
    /// When an epoch last began without a member of the one before it, which could have vouched
    /// for its end, in milliseconds of the writer's wall clock; 0 for never.
    pub cold_ms: u64,
}

impl Record {
    /// Tells whether `id` is a member.
    pub fn contains(&self, id: entry::Id) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    /// Returns the member `id`, if it is one.
    pub fn member(&self, id: entry::Id) -> Option<&entry::Member> {
        self.members.iter().find(|member| member.id == id)
    }
}
