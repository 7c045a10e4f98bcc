use super::Row;
use serde::{Deserialize, Serialize};

/// Requires a row to be at a version, or to be absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The version, or `None` for an absent row.
    pub version: Option<u64>,
}

impl Condition {
    /// Requires the row to be as it was read.
    pub fn unchanged(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            version: Some(row.version),
        }
    }

    /// Requires the row to be absent.
    pub fn absent(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            version: None,
        }
    }

    /// Requires the row to be as `row` says, where `None` means absent.
    pub fn as_read(key: &str, row: Option<&Row>) -> Self {
        Self {
            key: key.to_owned(),
            version: row.map(|row| row.version),
        }
    }
}
