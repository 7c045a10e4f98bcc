use super::Row;
use serde::{Deserialize, Serialize};

/// The requirement that a row has a version or is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The required version, or `None` if the row must be absent.
    pub version: Option<u64>,
}

impl Condition {
    /// Requires that the row has not changed since it was read.
    pub fn unchanged(row: &Row) -> Self {
        Self {
            key: row.key.clone(),
            version: Some(row.version),
        }
    }

    /// Requires that the row is absent.
    pub fn absent(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            version: None,
        }
    }

    /// Requires that the row has not changed since it was read as `row`, where `None` means absent.
    pub fn as_read(key: &str, row: Option<&Row>) -> Self {
        Self {
            key: key.to_owned(),
            version: row.map(|row| row.version),
        }
    }
}
