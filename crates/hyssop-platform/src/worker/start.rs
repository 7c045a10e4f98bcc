use serde::{Deserialize, Serialize};

/// Asks a worker to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The worker's name.
    pub worker: String,
    /// The task's name, which is the job's id.
    pub task: String,
    /// Grows with each start of the same job; a worker refuses a lower one.
    pub fence: u64,
    /// The command reference.
    pub command: String,
    /// How long the task may run without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Whether to resume from the job's last checkpoint.
    pub resume: bool,
}
