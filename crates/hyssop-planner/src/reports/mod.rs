//! Reports fetched from entries.

mod fetch;

pub use fetch::Http;

use hyssop_model::entry;
use hyssop_policy::plan::Report;
use std::collections::BTreeMap;

/// A source of the entries' reports.
pub trait Source: Send {
    /// Fetches the reports of all entries concurrently, by entry name. Entries that fail to answer
    /// are omitted.
    fn fetch(&self, entries: &[entry::Record]) -> BTreeMap<String, Report>;
}
