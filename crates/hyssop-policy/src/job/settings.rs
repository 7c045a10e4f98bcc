use std::time::Duration;

/// The times and limits of job placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long a started job may run without a renewal.
    pub lease: Duration,
    /// The allowance for clock drift and delays, for which a job may still run after its lease.
    pub lease_slack: Duration,
    /// The maximum delay of the platform's usage reports.
    pub usage_lag: Duration,
    /// The number of workers on which a job fails before it is given up.
    pub job_failure_threshold: usize,
    /// The number of jobs that fail on a worker, without a success between them, before the
    /// worker is excluded.
    pub worker_failure_threshold: usize,
    /// The duration of a worker's first exclusion, which doubles with each further one.
    pub min_exclusion: Duration,
    /// The upper limit of the duration of an exclusion.
    pub max_exclusion: Duration,
    /// The factor by which the reserved memory exceeds the observed peak.
    pub memory_headroom: f64,
    /// How long a pool keeps capacity free for its largest urgent job, after the last urgent job.
    pub urgent_reserve: Duration,
    /// The maximum number of workers examined for one placement, per number of free accelerators.
    pub max_candidates: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(30),
            lease_slack: Duration::from_secs(2),
            usage_lag: Duration::from_secs(10),
            job_failure_threshold: 3,
            worker_failure_threshold: 3,
            min_exclusion: Duration::from_secs(60),
            max_exclusion: Duration::from_secs(3600),
            memory_headroom: 1.25,
            urgent_reserve: Duration::from_secs(600),
            max_candidates: 32,
        }
    }
}
