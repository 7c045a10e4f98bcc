use super::Key;

/// A set of changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The rows that must have the given version, 0 for absent.
    pub expected: Vec<(Key, u64)>,
    /// The rows to write.
    pub writes: Vec<(Key, Vec<u8>)>,
    /// The rows to remove.
    pub removes: Vec<Key>,
}
