use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Says how far a job has come, as its caller is told.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Tells whether nothing of the job runs any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}
