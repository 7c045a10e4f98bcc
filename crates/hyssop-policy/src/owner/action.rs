use super::{TaskKey, WorkerKey};
use std::time::Duration;

/// A call to perform for the scheduler, which must be given the result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a run of a task.
    Start {
        /// The worker to call.
        worker: WorkerKey,
        /// The task to start.
        task: TaskKey,
        /// The run's number.
        run: u64,
    },
    /// Stops a run, or rejects its start if that has not arrived yet.
    Stop {
        /// The worker to call.
        worker: WorkerKey,
        /// The task's name.
        task: String,
        /// The run's number.
        run: u64,
    },
    /// Limits a run to a share of its full speed.
    Pace {
        /// The worker to call.
        worker: WorkerKey,
        /// The task's name.
        task: String,
        /// The run's number.
        run: u64,
        /// The share of the full speed, 0 to 100.
        percent: u32,
    },
    /// Asks the advice service which of the workers may run a step.
    RequestAdvice {
        /// The step, identified by its first task.
        step: TaskKey,
        /// The workers to ask about.
        workers: Vec<WorkerKey>,
    },
    /// Renews the lease of a worker's runs, acknowledges completions and requests a report.
    Renew {
        /// The worker to call.
        worker: WorkerKey,
        /// How long the worker may delay its report while no run completes.
        wait: Duration,
        /// Whether the lease is extended.
        extends: bool,
    },
}

/// A committed change of which callers are notified, with the job's identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The submission of the job is stored.
    Accepted(String),
    /// The cancellation of the job is stored.
    Cancelled(String),
}
