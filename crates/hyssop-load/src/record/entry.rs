use super::Told;
use std::time::Duration;

/// Is one request that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The position of its stream.
    pub stream: usize,
    /// When it was due, from the start of the run.
    pub due: Duration,
    /// How late it was sent.
    pub lag: Duration,
    /// How long the caller waited, from the due time.
    pub latency: Duration,
    /// What the caller was told.
    pub told: Told,
    /// The HTTP status, 0 for none.
    pub status: u16,
    /// The entry's name of the request.
    pub request: String,
    /// The caller's key.
    pub key: String,
    /// Why it did not run.
    pub reason: String,
    /// The instance that was used.
    pub instance: String,
}
