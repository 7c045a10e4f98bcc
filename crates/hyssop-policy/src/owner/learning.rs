use super::Scheduler;
use hyssop_model::work::Step;
use std::collections::BTreeMap;
use std::time::Duration;

/// The ratio of observed to estimated task durations of each queue, learned from completed runs.
///
/// Callers' estimates are off by half and more, so forecasts from estimates alone rank jobs wrongly
/// and misjudge which ones can meet their deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct Learning {
    factors: BTreeMap<String, f64>,
}

/// The weight of one observation in the moving average; some twenty tasks determine most of a
/// factor.
const WEIGHT: f64 = 0.05;
/// The bounds of one observation, so that a hanging task does not distort the factor.
const MIN_RATIO: f64 = 0.2;
const MAX_RATIO: f64 = 4.0;

impl Learning {
    /// Returns the factor by which to multiply estimates of `queue`, 1 before any observation.
    pub(super) fn factor(&self, queue: &str) -> f64 {
        self.factors.get(queue).copied().unwrap_or(1.0)
    }

    /// Records that a task of `queue` took `duration`, with `estimate_ms` as its estimate.
    pub(super) fn observe(&mut self, queue: &str, estimate_ms: u64, duration: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let ratio = duration.as_secs_f64() * 1_000.0 / estimate_ms as f64;
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let factor = self.factors.entry(queue.to_owned()).or_insert(1.0);
        *factor += (ratio - *factor) * WEIGHT;
    }
}

impl Scheduler {
    /// Returns the expected duration of a task of `step` in `queue`, in milliseconds.
    pub(super) fn expected_ms(&self, queue: &str, step: &Step) -> f64 {
        step.estimate_ms as f64 * self.learning.factor(queue)
    }
}
