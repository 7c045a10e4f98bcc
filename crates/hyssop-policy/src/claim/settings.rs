use std::time::Duration;

/// Timeouts and limits of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a settled claim is kept; an older key is answered `unknown`.
    pub retention: Duration,
    /// The memory limit of the kept answers and claims, in bytes.
    pub memory: u64,
    /// The largest answer that is kept, in bytes.
    pub max_answer_bytes: usize,
    /// The maximum difference between any two wall clocks.
    pub clock_bound: Duration,
    /// How long an entry waits for the reply of a home.
    pub request_timeout: Duration,
    /// The interval at which unacknowledged settlements and hand-overs are resent.
    pub resend_interval: Duration,
    /// How long a promise is valid.
    pub promise_duration: Duration,
    /// The interval between requests for promises.
    pub promise_interval: Duration,
    /// How long promises can extend the authority of a home after its lease has expired.
    pub max_outage: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            memory: 32 << 20,
            max_answer_bytes: 256 << 10,
            clock_bound: Duration::from_millis(500),
            request_timeout: Duration::from_secs(2),
            resend_interval: Duration::from_millis(500),
            promise_duration: Duration::from_secs(3),
            promise_interval: Duration::from_secs(1),
            max_outage: Duration::from_secs(600),
        }
    }
}
