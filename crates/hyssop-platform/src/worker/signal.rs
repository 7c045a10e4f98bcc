use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// A signal to a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// Extends the task's lease.
    Renew,
    /// Halves the task's CPU.
    Throttle,
    /// Saves the task's progress and stops it.
    Checkpoint,
    /// Stops the task without saving.
    Stop,
}
