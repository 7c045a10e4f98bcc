/// Names one row.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The table.
    pub table: String,
    /// The part; rows of one transaction share it.
    pub part: String,
    /// The row within the part.
    pub key: String,
}

impl Key {
    /// Names the row `key` of `part` in `table`.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
        }
    }
}
