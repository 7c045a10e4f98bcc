use hyssop_model::prelude::*;

/// Is a request as it reaches the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Names the request within this process.
    pub key: request::Key,
    /// The pool.
    pub pool: String,
    /// The queue within the pool.
    pub queue: String,
    /// The urgency.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The memory that the request takes, in bytes.
    pub bytes: u64,
    /// Whether the request may be sent again after an attempt that may have run.
    pub is_idempotent: bool,
    /// Whether a layer before this entry retries, so that this one must not.
    pub is_retried_upstream: bool,
}
