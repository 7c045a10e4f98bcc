use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Tells how far a job is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It waits for a worker.
    Queued,
    /// A worker was chosen; it may have started.
    Placed,
    /// It was seen running.
    Running,
    /// It saved its progress and waits for a worker.
    Checkpointed,
    /// It ended well.
    Done,
    /// It ended badly, or can never run.
    Failed,
    /// Its caller withdrew it.
    Cancelled,
}

impl State {
    /// Tells whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Tells whether the job waits for a worker.
    pub fn is_waiting(self) -> bool {
        matches!(self, Self::Queued | Self::Checkpointed)
    }
}
