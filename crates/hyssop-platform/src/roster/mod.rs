//! The platform's lagging list of live and leaving instances.

mod listing;

pub use listing::{Listing, Presence};

use crate::Error;

/// Lists instances and stops them.
pub trait Roster: Send + Sync {
    /// Lists the instances as the platform last saw them, some seconds late.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn list(&self) -> Result<Vec<Listing>, Error>;

    /// Lists the names of the system's own instances that are up, some seconds late.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn own(&self) -> Result<Vec<String>, Error>;

    /// Tells the platform that `name` holds no work and may be rebooted.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down; a repeat while the reboot runs has no further effect.
    fn reboot(&self, name: &str) -> Result<(), Error>;
}
