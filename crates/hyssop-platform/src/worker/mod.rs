//! The platform's interface to workers, which run tasks under leases.

mod signal;
mod start;
mod usage;

pub use signal::Signal;
pub use start::Start;
pub use usage::{Phase, Usage};

use crate::Error;
use hyssop_model::job;

/// Access to the workers and their tasks.
pub trait Worker: Send + Sync {
    /// Lists the workers.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn list(&self) -> Result<Vec<job::Worker>, Error>;

    /// Starts a task; a retry with the same task name and fencing token is idempotent.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Lost`] when the task may have started, and with [`Error::Conflict`]
    /// when the worker has seen a higher fencing token for the task.
    fn start(&self, start: &Start) -> Result<(), Error>;

    /// Signals a task.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does.
    fn signal(&self, worker: &str, task: &str, signal: Signal) -> Result<(), Error>;

    /// Returns the usage of all recent tasks on all workers, delayed by some seconds.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn usage(&self) -> Result<Vec<Usage>, Error>;
}
