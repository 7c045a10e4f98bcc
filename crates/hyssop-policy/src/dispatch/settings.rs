use crate::{health, slot};
use hyssop_config::settings::{Admission, Allocation};
use std::time::Duration;

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How slots are divided between entries.
    pub allocation: Allocation,
    /// The order in which queued requests start.
    pub admission: Admission,
    /// The settings of the slot allocator.
    pub slot: slot::Settings,
    /// The thresholds and intervals of health monitoring.
    pub health: health::Settings,
    /// The minimum interval between two demand reports of a pool whose demand changed, but
    /// where no requests started or stopped waiting.
    pub demand_interval: Duration,
    /// The minimum interval between two demand reports of a pool when requests start or
    /// stop waiting.
    pub demand_burst: Duration,
    /// The interval after which unchanged demand is reported again.
    pub demand_refresh: Duration,
    /// The interval between two health reports.
    pub health_interval: Duration,
    /// The fraction of a pool's slots that deferrable requests may use.
    pub deferrable_fraction: f64,
    /// The seed of the jitter in `Retry-After` and of the two-choices allocator.
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
            deferrable_fraction: 0.75,
            seed: 0,
        }
    }
}
