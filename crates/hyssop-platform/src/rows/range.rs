/// Names the rows of a part whose keys lie from `from` on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// The table.
    pub table: String,
    /// The part.
    pub part: String,
    /// The first key; empty for the start.
    pub from: String,
}
