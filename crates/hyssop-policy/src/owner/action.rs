use super::{TaskKey, WorkerKey};
use std::time::Duration;

/// Is an order to carry out; its answer comes back to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts run `run` of a task.
    Start {
        /// Where.
        worker: WorkerKey,
        /// What.
        task: TaskKey,
        /// The number of the start.
        run: u64,
    },
    /// Stops a run by name, whether it is there or only on its way.
    Stop {
        /// Where.
        worker: WorkerKey,
        /// The task's name.
        task: String,
        /// The number of the start.
        run: u64,
    },
    /// Lets a run work at a share of its speed.
    Pace {
        /// Where.
        worker: WorkerKey,
        /// The task's name.
        task: String,
        /// The number of the start.
        run: u64,
        /// 0 to 100.
        percent: u32,
    },
    /// Asks the advice service which of the workers may run a step.
    Advise {
        /// The step, as its first task.
        step: TaskKey,
        /// The workers to ask about.
        workers: Vec<WorkerKey>,
    },
    /// Extends the lease of all that runs on a worker, acknowledges endings, and asks for a report.
    Hold {
        /// Where.
        worker: WorkerKey,
        /// How long the worker may wait for an ending.
        wait: Duration,
        /// Whether the lease is extended.
        extends: bool,
    },
}

/// Tells what a commit has made certain, by a job's identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The job is accepted.
    Accepted(String),
    /// The job's cancellation is stored.
    Cancelled(String),
}
