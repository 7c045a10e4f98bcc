use super::Row;

/// Says what became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect; the store's newest version.
    Done(u64),
    /// A condition failed; the current rows of those that it named.
    Conflict(Vec<Row>),
    /// The store did nothing; the same call may be made again.
    Refused,
    /// The store will never take this call.
    Invalid,
}
