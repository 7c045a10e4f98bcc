use serde::{Deserialize, Serialize};

/// A request to start a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The worker's name.
    pub worker: String,
    /// The task's name, which is the job's id.
    pub task: String,
    /// The fencing token, which grows with each start of a job; a worker rejects a lower one.
    pub fence: u64,
    /// The reference of the command to run.
    pub command: String,
    /// How long the task may run without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Whether to resume from the job's last checkpoint.
    pub resume: bool,
}
