use super::Key;

/// Holds one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its name.
    pub key: Key,
    /// Its bytes; empty where it was removed.
    pub value: Vec<u8>,
    /// Its version; 0 where there is no such row.
    pub version: u64,
    /// Whether this tells of a removal.
    pub is_removed: bool,
}
