use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The phase of a job, as reported to its caller.
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
    /// A task exceeded its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}
