use std::time::Duration;
use strum::{Display, EnumIter, IntoStaticStr};

/// Says why a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The pool's queue is full of bytes.
    QueueFull,
    /// It would miss its deadline in the queue.
    WouldMissDeadline,
    /// Its deadline passed in the queue.
    DeadlinePassed,
    /// No instance of the pool serves.
    NoInstance,
    /// The pool's retries are used up.
    RetriesExhausted,
    /// The entry stops.
    Stopping,
}

/// Tells a caller that its request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a repeat has better chances.
    pub retry_after: Duration,
}
