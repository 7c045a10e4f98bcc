use super::worker::Stretch;
use std::time::Duration;

/// The time limits and batch size of a pool's scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The duration of a worker's lease, counted from each extension.
    pub lease: Duration,
    /// The bound that workers set to a lease. A lease granted in the time of a previous incarnation's
    /// clock may last as long.
    pub max_lease: Duration,
    /// Added to the end of a lease before the runs of an unreachable worker count as ended; covers
    /// the error in the estimate of the worker's clock.
    pub lease_slack: Duration,
    /// The factor by which a lease may last longer on the owner's clock because the worker's clock
    /// runs slow.
    pub clock_drift: f64,
    /// How long an owner goes on starting tasks and extending leases without a confirmation that it
    /// has not been replaced; its successor counts on it after the failover. Longer than a feed
    /// without changes waits, and two rounds of questions to the peers.
    pub authority: Duration,
    /// How long a worker may delay its report while no run ends.
    pub report_wait: Duration,
    /// The same for a worker with a long-running task that is not yet ready.
    pub start_wait: Duration,
    /// The delay before an unreachable worker is polled again.
    pub retry_pause: Duration,
    /// How long a finished job is kept, so that callers can query it.
    pub job_retention: Duration,
    /// How long a worker with a stalled run or with repeated failures is excluded from placement.
    pub quarantine: Duration,
    /// How long after a failover no task with a budget is interrupted: stops ordered by the previous
    /// owner take effect meanwhile, and reports don't show them before.
    pub interrupt_pause: Duration,
    /// How long an accepted job may wait for its first start beside idle workers; what would wait
    /// longer is refused.
    pub max_start_delay: Duration,
    /// The time within which a client account may make up for jobs that it was owed and didn't send.
    pub account_window: Duration,
    /// The maximum number of rows in one batch; the store accepts 100 entries per call, conditions
    /// included.
    pub max_batch_rows: usize,
    /// The maximum size of a row's value, in bytes.
    pub max_row_bytes: usize,
    /// The maximum size of the keys and values in one batch, in bytes; the store accepts 1 MB per
    /// call, in which values are base64.
    pub max_batch_bytes: usize,
    /// Whether the quotas of client accounts are enforced.
    pub enforces_quotas: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_500),
            max_lease: Duration::from_millis(6_000),
            lease_slack: Duration::from_millis(250),
            clock_drift: 1.025,
            authority: Duration::from_millis(3_000),
            report_wait: Duration::from_millis(500),
            start_wait: Duration::from_millis(150),
            retry_pause: Duration::from_millis(250),
            job_retention: Duration::from_secs(130),
            quarantine: Duration::from_millis(2_500),
            interrupt_pause: Duration::from_millis(2_500),
            max_start_delay: Duration::from_secs(7),
            account_window: Duration::from_secs(1),
            max_batch_rows: 90,
            max_row_bytes: 65_536,
            max_batch_bytes: 600_000,
            enforces_quotas: false,
        }
    }
}

impl Settings {
    /// Returns the maximum size of a row, in bytes: the rows of one job must fit into a batch.
    pub(super) fn row_limit(&self) -> usize {
        self.max_row_bytes.min(self.max_batch_bytes / 4)
    }

    /// Returns the time after sending an extension at which the lease has certainly expired.
    pub fn lease_span(&self) -> Duration {
        self.lease.mul_f64(self.clock_drift) + self.lease_slack
    }

    /// Returns the time after orders were last entitled to be sent to the previous incarnation of a worker
    /// at which any lease that they have granted has certainly expired.
    pub(super) fn stretched_lease_span(&self, stretch: Stretch) -> Duration {
        match stretch {
            Stretch::None => self.lease_span(),
            Stretch::InFlight | Stretch::Late => stretch.span() + self.max_lease_span(),
        }
    }

    /// Returns the time after the arrival of an order at which any lease granted by it has certainly
    /// expired, whatever its end on the worker's clock.
    pub fn max_lease_span(&self) -> Duration {
        self.max_lease.mul_f64(self.clock_drift) + self.lease_slack
    }
}
