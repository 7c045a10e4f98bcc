use hyssop_model::prelude::*;

/// A request as it reaches the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the request within this process.
    pub key: request::Key,
    /// The pool.
    pub pool: String,
    /// The queue within the pool.
    pub queue: String,
    /// The urgency class.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The memory that the request occupies, in bytes.
    pub bytes: u64,
    /// Whether the request may be retried after an attempt that may have run.
    pub is_idempotent: bool,
    /// Whether a layer in front of this entry retries the request, so that the entry must not.
    pub is_retried_upstream: bool,
}
