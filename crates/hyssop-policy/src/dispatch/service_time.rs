use std::time::Duration;

/// Estimator of the time that an instance takes to serve a request of one flow.
///
/// Follows RFC 6298, section 2: an exponentially weighted mean, and a mean deviation that widens
/// the upper bound.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
    has_samples: bool,
}

const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATION_FACTOR: f64 = 4.0;

impl ServiceTime {
    /// Updates the estimate with the service time of one request.
    pub(crate) fn record(&mut self, elapsed: Duration) {
        let sample_s = elapsed.as_secs_f64();
        if !self.has_samples {
            self.has_samples = true;
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        }
        let error_s = (sample_s - self.mean_s).abs();
        self.deviation_s += DEVIATION_WEIGHT * (error_s - self.deviation_s);
        self.mean_s += MEAN_WEIGHT * (sample_s - self.mean_s);
    }

    /// Returns the mean service time, or zero before the first sample.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the time within which a request is likely to be answered: the mean plus four mean
    /// deviations, but at most twice the mean.
    pub(crate) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(
            (self.mean_s + DEVIATION_FACTOR * self.deviation_s).min(2.0 * self.mean_s),
        )
    }
}
