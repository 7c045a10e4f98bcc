use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Running.
    Running,
    /// Ended with its progress saved.
    Checkpointed,
    /// Completed successfully.
    Done,
    /// Failed with an error.
    Failed,
    /// Stopped from outside, or its lease expired.
    Stopped,
}

/// One task's entry in the platform's usage report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The worker's name.
    pub worker: String,
    /// The task's name.
    pub task: String,
    /// The fencing token of the start.
    pub fence: u64,
    /// The task's phase.
    pub phase: Phase,
    /// CPU used, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory used, in MiB.
    pub memory_mib: u64,
    /// The time since the start, in milliseconds.
    pub ran_ms: u64,
}
