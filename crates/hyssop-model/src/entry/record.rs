use super::Member;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Tells how far an entry is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It may serve requests.
    Serving,
    /// It finishes its requests and takes no new ones.
    Leaving,
}

/// Is an entry's row in the table service: its lease and what it reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who holds the lease.
    pub member: Member,
    /// How far the entry is in its life.
    pub phase: Phase,
    /// When the lease ends, in milliseconds of the wall clock.
    pub expires_ms: u64,
    /// The highest configuration version that the entry holds.
    pub held_version: u64,
    /// The configuration version in force at the entry.
    pub config_version: u64,
    /// Whether the entry handed its claims over and grants nothing any more.
    pub is_handed_over: bool,
}
