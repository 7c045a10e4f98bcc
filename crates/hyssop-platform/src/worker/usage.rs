use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Tells how far a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It runs.
    Running,
    /// It ended and saved its progress.
    Checkpointed,
    /// It ended well.
    Done,
    /// It ended in an error.
    Failed,
    /// It was ended from outside, or its lease ran out.
    Stopped,
}

/// Is one task's line in the platform's usage report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The worker's name.
    pub worker: String,
    /// The task's name.
    pub task: String,
    /// The fence it was started with.
    pub fence: u64,
    /// How far it is.
    pub phase: Phase,
    /// Processors used, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory used, in MiB.
    pub memory_mib: u64,
    /// How long it has run, in milliseconds.
    pub ran_ms: u64,
}
