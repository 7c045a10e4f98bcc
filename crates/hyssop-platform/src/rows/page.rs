use super::Row;

/// Holds rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, in the order of their keys; of a feed, in the order of their versions.
    pub rows: Vec<Row>,
    /// The store's newest version at that moment.
    pub version: u64,
    /// Whether rows were left out.
    pub has_more: bool,
}
