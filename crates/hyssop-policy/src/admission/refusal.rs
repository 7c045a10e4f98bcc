use std::time::Duration;
use strum::{Display, EnumIter, IntoStaticStr};

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The waiting requests of the pool occupy all the memory that its queues may use.
    QueueFull,
    /// The request is expected to miss its deadline.
    WouldMissDeadline,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The pool has no slots on serving instances.
    NoInstance,
    /// An attempt failed, and a retry is not permitted or the retry budget is used up.
    RetriesExhausted,
    /// The entry is shutting down.
    Stopping,
}

/// Answer to a caller whose request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The delay after which the caller should retry.
    pub retry_after: Duration,
}
