use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

/// What callers that are not trusted hold, and how often they were refused.
#[derive(Clone)]
pub(crate) struct Intake {
    pub(super) bytes: IntGauge,
    pub(super) bytes_left: IntGauge,
    pub(super) peer_bytes: IntGauge,
    pub(super) peer_bytes_left: IntGauge,
    pub(super) job_bytes: IntGauge,
    pub(super) job_bytes_left: IntGauge,
    pub(super) connections: IntGaugeVec,
    pub(super) connections_left: IntGaugeVec,
    pub(super) refusals: IntCounterVec,
}

impl Intake {
    pub(crate) fn count(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    pub(crate) fn set_bytes(&self, held: usize, capacity: usize) {
        self.bytes.set(held as i64);
        self.bytes_left.set(capacity.saturating_sub(held) as i64);
    }

    pub(crate) fn set_peer_bytes(&self, held: usize, capacity: usize) {
        self.peer_bytes.set(held as i64);
        self.peer_bytes_left
            .set(capacity.saturating_sub(held) as i64);
    }

    pub(crate) fn set_job_bytes(&self, held: usize, capacity: usize) {
        self.job_bytes.set(held as i64);
        self.job_bytes_left
            .set(capacity.saturating_sub(held) as i64);
    }

    pub(crate) fn set_connections(&self, listener: &str, held: usize, capacity: usize) {
        let left = capacity.saturating_sub(held);
        let gauges = [(&self.connections, held), (&self.connections_left, left)];
        for (gauge, value) in gauges {
            gauge.with_label_values(&[listener]).set(value as i64);
        }
    }
}
