/// The key of a row.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The table.
    pub table: String,
    /// The shard, which all rows of a transaction share.
    pub shard: String,
    /// The row's key within the shard.
    pub key: String,
}

impl Key {
    /// Creates the key of the row `key` of `shard` in `table`.
    pub fn new(table: &str, shard: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            shard: shard.to_owned(),
            key: key.to_owned(),
        }
    }
}
