use std::time::Duration;

/// Limits and delays of the fleet's decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The age beyond which a pool's demand report is ignored.
    pub max_report_age: Duration,
    /// How long the effect of an order may take to appear in the platform's list.
    pub list_delay: Duration,
    /// The pause after the platform refused to change an instance. Instances that are leaving or
    /// down stay so for longer than one round of decisions takes.
    pub retry_pause: Duration,
    /// An instance of a wave that has been missing from the platform's list for this long counts
    /// as having left the fleet. Several lists are read within that time.
    pub departure_timeout: Duration,
    /// An instance beyond its pool's base size returns to the spare pool after being idle for this
    /// long. A move costs about as much as keeping an instance in a pool for this time.
    pub return_after: Duration,
    /// An instance within its pool's base size may be lent to another pool after being idle for
    /// this long, and is switched off after `switch_off_after`.
    pub lend_after: Duration,
    /// See `lend_after`; longer than `return_after`, since the pool will need the instance again
    /// at its next peak.
    pub switch_off_after: Duration,
    /// How far ahead a rise of demand is extrapolated: about the duration of a move.
    pub forecast_horizon: Duration,
    /// The factor by which a pool's retained capacity exceeds its recent peak.
    pub margin: f64,
    /// The share of its base size that a pool retains regardless of demand.
    pub min_retained_share: f64,
    /// The time to evacuate and maintain one instance, for estimating the rest of a wave.
    pub maintenance_time: Duration,
    /// A wave ignores the pools' backlogs once the time left exceeds the estimate by no more than
    /// this.
    pub deadline_slack: Duration,
    /// Within this time before its wave's deadline, an instance that still runs tasks is maintained
    /// if all of them can restart elsewhere: a late wave costs more than the lost work.
    pub force_before_deadline: Duration,
    /// The share of a pool that may be unavailable for maintenance at once.
    pub max_unavailable_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_report_age: Duration::from_millis(1_000),
            list_delay: Duration::from_millis(400),
            retry_pause: Duration::from_millis(500),
            departure_timeout: Duration::from_millis(1_500),
            return_after: Duration::from_millis(1_000),
            lend_after: Duration::from_millis(700),
            switch_off_after: Duration::from_millis(1_500),
            forecast_horizon: Duration::from_millis(1_000),
            margin: 1.15,
            min_retained_share: 0.5,
            maintenance_time: Duration::from_millis(4_000),
            deadline_slack: Duration::from_millis(6_000),
            force_before_deadline: Duration::from_millis(1_500),
            max_unavailable_share: 0.25,
        }
    }
}
