//! The object store.

use crate::Error;

/// A store of immutable objects, addressed by name.
pub trait Object: Send + Sync {
    /// Stores `body` under `name`; a retry with the same body is idempotent.
    ///
    /// # Errors
    ///
    /// Fails when the store is down or its response was lost; the call may be retried.
    fn put(&self, name: &str, body: &str) -> Result<(), Error>;

    /// Reads the object `name`, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the store is down.
    fn get(&self, name: &str) -> Result<Option<String>, Error>;
}
