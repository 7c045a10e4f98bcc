use crate::table::Row;
use serde::{Deserialize, Serialize};

/// Asks for rows by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Keys {
    /// The keys.
    pub keys: Vec<String>,
}

/// Asks for rows by prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Prefix {
    /// The prefix.
    pub prefix: String,
}

/// Answers with rows, `None` for an absent one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// The rows in the order asked for.
    pub rows: Vec<Option<Row>>,
}

/// Answers a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Commit {
    /// The transaction took effect.
    Done,
    /// It had no effect.
    Conflict {
        /// The first row whose condition failed.
        key: String,
    },
}
