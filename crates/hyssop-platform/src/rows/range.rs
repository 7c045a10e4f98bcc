/// The rows of a shard whose keys are `from` or greater.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// The table.
    pub table: String,
    /// The shard.
    pub shard: String,
    /// The first key; empty for the start.
    pub from: String,
}
