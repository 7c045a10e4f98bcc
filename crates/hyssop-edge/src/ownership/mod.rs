//! Ownership of shards: the owners' rows, failover and release.

mod monitor;
mod registry;
mod takeover;

pub(crate) use monitor::monitor_shards;
pub(crate) use registry::{follow_owners, register};
pub(crate) use takeover::release_all;

/// The table with one owner row for each shard; the shard with an empty name has the members.
const OWNERS_TABLE: &str = "owner";
const OWNER_KEY: &str = "owner";
