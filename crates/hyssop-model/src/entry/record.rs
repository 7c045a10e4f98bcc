use super::Member;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The phase in an entry's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepting requests.
    Serving,
    /// Finishing its requests and accepting no new ones.
    Leaving,
}

/// An entry's row in the table service: its lease and its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member that holds the lease.
    pub member: Member,
    /// The phase of the entry.
    pub phase: Phase,
    /// When the lease expires, in milliseconds of the wall clock.
    pub expires_ms: u64,
    /// The highest configuration version that the entry has stored.
    pub held_version: u64,
    /// The configuration version in force at the entry.
    pub config_version: u64,
    /// Whether the entry has handed its claims over and no longer grants any.
    pub is_handed_over: bool,
}
