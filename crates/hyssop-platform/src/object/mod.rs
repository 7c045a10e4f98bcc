//! The object store.

use crate::Error;

/// Stores immutable objects by name.
pub trait Object: Send + Sync {
    /// Stores `body` under `name`; a repeat with the same body has no further effect.
    ///
    /// # Errors
    ///
    /// Fails when the store is down or its answer was lost; the call may be repeated.
    fn put(&self, name: &str, body: &str) -> Result<(), Error>;

    /// Reads the object `name`, `None` when there is none.
    ///
    /// # Errors
    ///
    /// Fails when the store is down.
    fn get(&self, name: &str) -> Result<Option<String>, Error>;
}
