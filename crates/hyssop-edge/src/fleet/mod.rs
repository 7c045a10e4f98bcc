//! The controller that moves and maintains the fleet's instances while this process owns the
//! fleet shard.

mod controller;
mod stored;
mod waves;

pub(crate) use controller::Controller;
pub(crate) use stored::left_row;

/// The table of the controller's rows.
const TABLE: &str = "holder";
/// The key of the row with the pools' base sizes.
const BASE_KEY: &str = "base";
/// The key of the row with the instances that were recently ordered to change.
const RECENT_KEY: &str = "recent";
/// The key of the row with what was left of the gap between two owners at a release.
const LEFT_KEY: &str = "left";
/// The key of the row with the workers that recent orders stop.
const STOPS_KEY: &str = "stops";
/// The prefix of the keys of the waves' progress rows.
const PROGRESS_PREFIX: &str = "campaign/";
