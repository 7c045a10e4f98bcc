use std::time::Duration;

/// Holds the thresholds of health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The strikes in a row at which an instance is failing.
    pub strikes: u32,
    /// The success rate, relative to the pool's, below which an instance is failing.
    pub relative_rate: f64,
    /// The time to answer, relative to the pool's, above which an instance is failing.
    pub relative_time: f64,
    /// The samples before rate and time count.
    pub least_samples: u32,
    /// The part of the observed instances that must fail for the observer to doubt itself.
    pub suspect_part: f64,
    /// The least pause before an ejected instance is tried again.
    pub shortest_backoff: Duration,
    /// The longest pause before an ejected instance is tried again.
    pub longest_backoff: Duration,
    /// How long a peer's opinion counts.
    pub opinion_life: Duration,
    /// How many observers must agree to eject an instance that this entry finds well.
    pub quorum: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            strikes: 3,
            relative_rate: 0.5,
            relative_time: 5.0,
            least_samples: 10,
            suspect_part: 0.5,
            shortest_backoff: Duration::from_secs(1),
            longest_backoff: Duration::from_secs(16),
            opinion_life: Duration::from_secs(5),
            quorum: 2,
        }
    }
}
