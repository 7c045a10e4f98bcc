//! Owners' rows: who owns which part, when to take one over, and how one is given up.

mod keeper;
mod registry;
mod takeover;

pub(crate) use keeper::keep_parts;
pub(crate) use registry::{follow_owners, register};
pub(crate) use takeover::release_all;

/// The table of owners, one row a part, and of members in the part without a name.
const OWNERS: &str = "owner";
const OWNER_KEY: &str = "owner";
