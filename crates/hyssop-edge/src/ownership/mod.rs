//! Ownership of shards: the owners' rows, failure detection, failover and release.

mod candidates;
mod confirmation;
mod monitor;
mod registry;
mod removal;
mod suspects;
mod takeover;
mod target;
mod watched;

pub(crate) use confirmation::confirm_with_peers;
pub(crate) use monitor::monitor_shards;
pub(crate) use registry::{follow_owners, register};
pub(crate) use removal::remove_lost_members;
pub(crate) use suspects::{locate_owner, report_owner, Suspects};
pub(crate) use takeover::release_all;

/// The table with one owner row for each shard; the shard with an empty name has the members.
pub(crate) const OWNERS_TABLE: &str = "owner";
const OWNER_KEY: &str = "owner";
