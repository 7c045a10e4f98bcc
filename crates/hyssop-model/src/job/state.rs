use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The state of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Waiting for a worker.
    Queued,
    /// Assigned to a worker; it may have started.
    Placed,
    /// Reported as running.
    Running,
    /// Stopped with its progress saved, and waiting for a worker.
    Checkpointed,
    /// Completed successfully.
    Done,
    /// Failed, or can never run.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl State {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Returns whether the job waits for a worker.
    pub fn is_waiting(self) -> bool {
        matches!(self, Self::Queued | Self::Checkpointed)
    }
}
