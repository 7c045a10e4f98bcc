use super::Row;

/// A consistent read of rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, ordered by key, or by version in a feed.
    pub rows: Vec<Row>,
    /// The number of rows that could not be decoded.
    pub rejected: usize,
    /// The store's latest version at the time of the read.
    pub version: u64,
    /// The store's time of the read on its steady clock, in milliseconds, if it tells it.
    pub now_ms: Option<i64>,
    /// Whether there are more rows than this page contains.
    pub has_more: bool,
}
