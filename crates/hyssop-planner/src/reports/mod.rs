//! The reports that the planner fetches from entries.

mod fetch;

pub use fetch::Http;

use hyssop_model::entry;
use hyssop_policy::plan::Report;
use std::collections::BTreeMap;

/// Tells what entries report.
pub trait Source: Send {
    /// Fetches the report of every entry at once; an entry that does not answer is left out.
    fn fetch(&self, entries: &[entry::Record]) -> BTreeMap<String, Report>;
}
