use super::Row;

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect; contains the store's latest version.
    Done(u64),
    /// A condition failed; contains the current rows of the failed conditions.
    Conflict(Vec<Row>),
    /// The store rejected the call, which had no effect and may be retried.
    Refused,
    /// The call is invalid; a retry will fail as well.
    Invalid,
    /// The answer does not tell whether the transaction took effect.
    Uncertain,
}
