use super::Outcome;
use std::time::Duration;

/// The measurements of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The index of its stream.
    pub stream: usize,
    /// The scheduled send time, from the start of the run.
    pub due: Duration,
    /// The delay between the scheduled and the actual send time.
    pub lag: Duration,
    /// How long the caller waited, from the scheduled send time.
    pub latency: Duration,
    /// The outcome as reported to the caller.
    pub outcome: Outcome,
    /// The HTTP status, or 0 without a response.
    pub status: u16,
    /// The request ID assigned by the entry.
    pub request: String,
    /// The idempotency key, or an empty string.
    pub key: String,
    /// The entry's reason for not running the request.
    pub reason: String,
    /// The instance that ran the request.
    pub instance: String,
}
