use super::Key;

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: Key,
    /// The value; empty if the row was removed.
    pub value: Vec<u8>,
    /// The version; 0 if the row does not exist.
    pub version: u64,
    /// Whether the row was removed.
    pub is_removed: bool,
}
