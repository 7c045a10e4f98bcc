use std::collections::BTreeMap;
use std::time::Duration;

/// Learns how durations differ from callers' estimates, for each queue.
///
/// Estimates are off by half and more, so a forecast from them alone refuses or favours wrongly.
#[derive(Clone, Debug, Default)]
pub(super) struct Learning {
    factors: BTreeMap<String, f64>,
}

/// The weight of one observation; some twenty tasks make up most of a factor.
const WEIGHT: f64 = 0.05;
/// Bounds one observation, so that a hanging task does not spoil the factor.
const FACTOR_MIN: f64 = 0.2;
const FACTOR_MAX: f64 = 4.0;

impl Learning {
    /// Returns the factor from estimate to duration on `queue`.
    pub(super) fn factor(&self, queue: &str) -> f64 {
        self.factors.get(queue).copied().unwrap_or(1.0)
    }

    /// Notes that a task of `queue` took `duration` where `estimate_ms` was told.
    pub(super) fn observe(&mut self, queue: &str, estimate_ms: u64, duration: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let seen = duration.as_secs_f64() * 1_000.0 / estimate_ms as f64;
        let seen = seen.clamp(FACTOR_MIN, FACTOR_MAX);
        let factor = self.factors.entry(queue.to_owned()).or_insert(1.0);
        *factor += (seen - *factor) * WEIGHT;
    }
}
