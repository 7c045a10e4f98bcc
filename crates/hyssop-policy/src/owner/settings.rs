use std::time::Duration;

/// Holds an owner's bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The length that a worker's lease is extended by.
    pub lease: Duration,
    /// Added to the end of a lease before a silent worker's runs count as ended; covers the
    /// error of the estimate of the worker's clock.
    pub lease_slack: Duration,
    /// The most by which a worker's clock runs slow, as a factor of a lease's length.
    pub clock_drift: f64,
    /// How long an earlier owner may go on extending leases after a take-over.
    pub authority: Duration,
    /// How long a worker may hold back its report while nothing ends.
    pub report_wait: Duration,
    /// The same for a worker with a lasting task that is not at work yet.
    pub start_wait: Duration,
    /// The pause before a silent worker is asked again.
    pub retry_pause: Duration,
    /// How long a finished job is remembered.
    pub remember: Duration,
    /// How long a worker that refused or failed starts gets no new ones.
    pub quarantine: Duration,
    /// How long after a take-over no task of a budget is interrupted: stops that the earlier owner
    /// ordered take effect meanwhile, and no report shows them before.
    pub interrupt_pause: Duration,
    /// The most rows of one batch; the store takes 100 entries a call, conditions among them.
    pub batch_rows: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_500),
            lease_slack: Duration::from_millis(250),
            clock_drift: 1.025,
            authority: Duration::from_millis(2_000),
            report_wait: Duration::from_millis(500),
            start_wait: Duration::from_millis(150),
            retry_pause: Duration::from_millis(250),
            remember: Duration::from_secs(130),
            quarantine: Duration::from_millis(2_500),
            interrupt_pause: Duration::from_millis(2_500),
            batch_rows: 90,
        }
    }
}

impl Settings {
    /// Returns the time, from the sending of an extension, after which the lease has run out.
    pub fn lease_span(&self) -> Duration {
        self.lease.mul_f64(self.clock_drift) + self.lease_slack
    }
}
