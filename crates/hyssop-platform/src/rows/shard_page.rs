/// A page of the names of the shards in which a table has rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardPage {
    /// The names, in ascending order.
    pub shards: Vec<String>,
    /// The number of entries that could not be decoded.
    pub rejected: usize,
    /// Whether there may be more shards than this page contains.
    pub has_more: bool,
}
