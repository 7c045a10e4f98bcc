//! The reports that the planner fetches from entries.

mod fetch;

pub(crate) use fetch::fetch_all;
