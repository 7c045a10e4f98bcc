use crate::entry;
use serde::{Deserialize, Serialize};

/// A former member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// The member's incarnation.
    pub id: entry::Id,
    /// When the member was removed, in milliseconds of the writer's wall clock.
    pub removed_ms: u64,
    /// Whether the member stopped as planned and handed its claims over.
    pub is_clean: bool,
}

/// The membership row of a region, replaced as a whole by compare-and-set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The epoch's number, which grows by one with each change.
    pub number: u64,
    /// The members in the order in which they joined.
    pub members: Vec<entry::Member>,
    /// Recently removed members, whose requests may still be in progress.
    pub retired: Vec<Retired>,
    /// When this epoch was written, in milliseconds of the writer's wall clock.
    pub written_ms: u64,
    /// When an epoch last began without any member of the previous one, so that none could confirm
    /// the previous epoch's end; in milliseconds of the writer's wall clock, 0 for never.
    #[serde(rename = "cold_ms")]
    pub cold_start_ms: u64,
}

impl Record {
    /// Returns whether `id` is a member.
    pub fn contains(&self, id: entry::Id) -> bool {
        self.members.iter().any(|member| member.id == id)
    }

    /// Returns the member `id`, or `None` if it is not a member.
    pub fn member(&self, id: entry::Id) -> Option<&entry::Member> {
        self.members.iter().find(|member| member.id == id)
    }
}
