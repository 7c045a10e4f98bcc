use std::time::Duration;

/// Holds the times and limits of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a settled claim is kept; an older key is answered `unknown`.
    pub retention: Duration,
    /// How many bytes of answers are kept.
    pub memory: u64,
    /// The largest answer that is kept, in bytes.
    pub largest_answer: usize,
    /// The bound between any two wall clocks.
    pub clock_bound: Duration,
    /// How long an asker waits for the home.
    pub ask_timeout: Duration,
    /// The pause between two sendings of a settlement that was not confirmed.
    pub settle_interval: Duration,
    /// How long a promise lasts.
    pub promise: Duration,
    /// The pause between two requests for promises.
    pub promise_interval: Duration,
    /// How long a home goes on by promises after its lease ran out.
    pub longest_outage: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            memory: 32 << 20,
            largest_answer: 256 << 10,
            clock_bound: Duration::from_millis(500),
            ask_timeout: Duration::from_secs(2),
            settle_interval: Duration::from_millis(500),
            promise: Duration::from_secs(3),
            promise_interval: Duration::from_secs(1),
            longest_outage: Duration::from_secs(600),
        }
    }
}
