use std::time::Duration;

/// Estimates the time in service of a flow's requests.
///
/// This is the estimator of RFC 6298, section 2: a moving mean, and a moving mean deviation that
/// widens the bound.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    mean_s: f64,
    deviation_s: f64,
    is_known: bool,
}

const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;

impl Service {
    /// Takes in the time in service of one request.
    pub(crate) fn learn(&mut self, took: Duration) {
        let sample_s = took.as_secs_f64();
        if !self.is_known {
            self.is_known = true;
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        }
        let error_s = (sample_s - self.mean_s).abs();
        self.deviation_s += DEVIATION_WEIGHT * (error_s - self.deviation_s);
        self.mean_s += MEAN_WEIGHT * (sample_s - self.mean_s);
    }

    /// Returns the mean, zero before the first request.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the time within which a request is likely to be answered, at most twice the mean.
    pub(crate) fn bound(&self) -> Duration {
        Duration::from_secs_f64(
            (self.mean_s + DEVIATIONS * self.deviation_s).min(2.0 * self.mean_s),
        )
    }
}
