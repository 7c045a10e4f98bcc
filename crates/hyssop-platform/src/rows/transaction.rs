use super::Key;

/// Holds changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Rows with the version that each must have, 0 for absent.
    pub expected: Vec<(Key, u64)>,
    /// Rows to write.
    pub writes: Vec<(Key, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<Key>,
}
