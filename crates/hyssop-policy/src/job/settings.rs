use std::time::Duration;

/// Holds the times and limits of job placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long a start may run without a renewal.
    pub lease: Duration,
    /// How much longer than its lease a start may still run, by clocks and delays.
    pub lease_slack: Duration,
    /// How late the platform reports usage at most.
    pub usage_lag: Duration,
    /// On how many workers a job must fail to count as failing.
    pub failures_of_job: usize,
    /// How many jobs must fail on a worker, with none that ended well between, to attribution it.
    pub failures_of_worker: usize,
    /// How long a suspected worker is first left alone.
    pub shortest_rest: Duration,
    /// How long a suspected worker is left alone at most.
    pub longest_rest: Duration,
    /// The reserve above the memory that was observed.
    pub memory_reserve: f64,
    /// How long a pool keeps room for the largest urgent job it had.
    pub urgent_memory: Duration,
    /// How many candidates are looked at for one placement.
    pub candidates: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(30),
            lease_slack: Duration::from_secs(2),
            usage_lag: Duration::from_secs(10),
            failures_of_job: 3,
            failures_of_worker: 3,
            shortest_rest: Duration::from_secs(60),
            longest_rest: Duration::from_secs(3600),
            memory_reserve: 1.25,
            urgent_memory: Duration::from_secs(600),
            candidates: 32,
        }
    }
}
