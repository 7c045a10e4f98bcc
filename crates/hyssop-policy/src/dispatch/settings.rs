use crate::{health, slot};
use hyssop_config::settings::{Admission, Allocation};
use std::time::Duration;

/// Holds the times and choices of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How slots are divided between entries.
    pub allocation: Allocation,
    /// The order in which queued requests start.
    pub admission: Admission,
    /// The times of the allocator.
    pub slot: slot::Settings,
    /// The thresholds of health.
    pub health: health::Settings,
    /// The least pause between two reports of a pool's demand whose urgency did not change.
    pub demand_interval: Duration,
    /// The least pause between two reports of a pool's demand.
    pub demand_burst: Duration,
    /// The pause after which unchanged demand is told again.
    pub demand_refresh: Duration,
    /// The pause between two reports of health.
    pub health_interval: Duration,
    /// The part of a pool's slots that deferrable requests may hold.
    pub deferrable_part: f64,
    /// Where the spreading of `Retry-After` starts.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            allocation: Allocation::default(),
            admission: Admission::default(),
            slot: slot::Settings::default(),
            health: health::Settings::default(),
            demand_interval: Duration::from_millis(250),
            demand_burst: Duration::from_millis(20),
            demand_refresh: Duration::from_secs(5),
            health_interval: Duration::from_secs(1),
            deferrable_part: 0.75,
            seed: 0,
        }
    }
}
