use std::time::Duration;

/// Thresholds and intervals of health monitoring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The failure score since the last good request at which an instance is failing.
    pub failure_threshold: u32,
    /// The success rate, relative to the pool's mean, below which an instance is failing.
    pub relative_rate: f64,
    /// The probe time, relative to the pool's median, above which an instance is failing.
    pub relative_time: f64,
    /// The number of requests before the success rate is evaluated.
    pub min_samples: u32,
    /// The fraction of the monitored instances above which failures are attributed to this entry
    /// instead.
    pub suspect_fraction: f64,
    /// The minimum time before an ejected instance is readmitted.
    pub min_backoff: Duration,
    /// The maximum time before an ejected instance may be readmitted.
    pub max_backoff: Duration,
    /// How long the report of a peer stays valid.
    pub peer_report_ttl: Duration,
    /// The number of peers whose agreement ejects an instance that seems healthy from here.
    pub quorum: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            relative_rate: 0.5,
            relative_time: 5.0,
            min_samples: 10,
            suspect_fraction: 0.5,
            min_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(16),
            peer_report_ttl: Duration::from_secs(5),
            quorum: 2,
        }
    }
}
