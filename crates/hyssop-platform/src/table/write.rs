use serde::{Deserialize, Serialize};

/// The replacement or deletion of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value in JSON, or `None` to delete the row.
    pub body: Option<String>,
}
