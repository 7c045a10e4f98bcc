//! The platform's calls on workers, which run tasks under leases.

mod signal;
mod start;
mod usage;

pub use signal::Signal;
pub use start::Start;
pub use usage::{Phase, Usage};

use crate::Error;
use hyssop_model::job;

/// Starts, signals and watches tasks on workers.
pub trait Worker: Send + Sync {
    /// Lists the workers.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn list(&self) -> Result<Vec<job::Worker>, Error>;

    /// Starts a task; a repeat with the same task name and fence has no further effect.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Lost`] when the task may have started, and with [`Error::Conflict`]
    /// when the worker has seen a higher fence for the task.
    fn start(&self, start: &Start) -> Result<(), Error>;

    /// Signals a task.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does.
    fn signal(&self, worker: &str, task: &str, signal: Signal) -> Result<(), Error>;

    /// Reports the tasks that ran lately on all workers, some seconds late.
    ///
    /// # Errors
    ///
    /// Fails when the platform is down.
    fn usage(&self) -> Result<Vec<Usage>, Error>;
}
