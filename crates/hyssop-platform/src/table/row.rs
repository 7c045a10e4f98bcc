use crate::Error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A row of the table service, as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key, a path such as `instance/i-007`.
    pub key: String,
    /// The version, which grows with every write and is never reused, not even after a delete.
    pub version: u64,
    /// The write id of the transaction that wrote it.
    pub write_id: String,
    /// The value, in JSON.
    pub body: String,
}

impl Row {
    /// Parses the value.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Malformed`] when the value is not JSON of `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_str(&self.body).map_err(|error| Error::Malformed {
            reason: format!("row {}: {error}", self.key),
        })
    }
}
