//! The holder of the fleet's instances at work.

mod holder;
mod stored;
mod waves;

pub(crate) use holder::Holder;

/// The table of the holder's rows.
const TABLE: &str = "holder";
/// The row of the pools' own sizes.
const BASE_KEY: &str = "base";
/// The row of the instances that were ordered to change lately.
const RECENT_KEY: &str = "recent";
/// The rows of how far waves have come.
const CAMPAIGN_PREFIX: &str = "campaign/";
