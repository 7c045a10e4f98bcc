use crate::table::Row;
use serde::{Deserialize, Serialize};

/// A request for rows by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Keys {
    /// The keys.
    pub keys: Vec<String>,
}

/// A request for rows by prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prefix {
    /// The prefix.
    pub prefix: String,
}

/// A response with rows, `None` for each absent one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// The rows in the requested order.
    pub rows: Vec<Option<Row>>,
}

/// The response to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Commit {
    /// The transaction took effect.
    Done,
    /// The transaction had no effect.
    Conflict {
        /// The first row whose condition failed.
        key: String,
    },
}
