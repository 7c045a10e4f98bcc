//! The platform's delayed list of live and leaving instances.

mod listing;

pub use listing::{Listing, Presence};

use crate::Error;

/// Access to the platform's list of instances.
pub trait Roster: Send + Sync {
    /// Lists the instances as last observed by the platform, delayed by some seconds.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn list(&self) -> Result<Vec<Listing>, Error>;

    /// Lists the names of the system's own instances that are up, delayed by some seconds.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn own_instances(&self) -> Result<Vec<String>, Error>;

    /// Informs the platform that `name` has no work and may be rebooted.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down; a retry during the reboot is idempotent.
    fn reboot(&self, name: &str) -> Result<(), Error>;
}
