use super::{Sample, Settings};
use std::time::{Duration, Instant};

/// Health of one instance, as seen from this entry.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) pool: String,
    /// The sum of failure weights since the last good request.
    failure_score: u32,
    /// The moving success rate.
    pub(crate) rate: f64,
    /// The moving time to answer of probes, in seconds.
    pub(crate) probe_time: Option<f64>,
    pub(crate) samples: u32,
    /// Whether the instance gets no requests.
    pub(crate) is_ejected: bool,
    /// Whether this entry's own samples exceed a threshold.
    pub(crate) is_failing: bool,
    /// How long the next ejection lasts.
    backoff: Duration,
    /// The earliest time at which an ejected instance is readmitted.
    pub(crate) retry_at: Option<Instant>,
    /// The number of consecutive good probes.
    good_probes: u32,
}

/// The weight of the newest sample in a moving rate.
const RATE_WEIGHT: f64 = 0.1;

/// The number of consecutive good probes before an ejected instance is readmitted.
const PROBES_TO_READMIT: u32 = 2;

impl Target {
    pub(crate) fn new(pool: &str, settings: &Settings) -> Self {
        Self {
            pool: pool.to_owned(),
            failure_score: 0,
            rate: 1.0,
            probe_time: None,
            samples: 0,
            is_ejected: false,
            is_failing: false,
            backoff: settings.min_backoff,
            retry_at: None,
            good_probes: 0,
        }
    }

    /// Records the result of a request.
    pub(crate) fn observe(&mut self, sample: Sample) {
        self.samples = self.samples.saturating_add(1);
        let value = if sample.is_good() { 1.0 } else { 0.0 };
        self.rate += RATE_WEIGHT * (value - self.rate);
        self.failure_score = match sample {
            Sample::Answered(_) => 0,
            _ => self.failure_score.saturating_add(sample.failure_weight()),
        };
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(&mut self, sample: Sample) {
        match sample {
            Sample::Answered(elapsed) => {
                let time = elapsed.as_secs_f64();
                let old = self.probe_time.unwrap_or(time);
                self.probe_time = Some(old + 2.0 * RATE_WEIGHT * (time - old));
                self.good_probes += 1;
            }
            _ => {
                self.good_probes = 0;
                self.failure_score = self.failure_score.saturating_add(sample.failure_weight());
            }
        }
    }

    /// Returns whether the samples exceed a threshold, given the pool's mean rate and median time.
    pub(crate) fn is_unhealthy(&self, settings: &Settings, pool_rate: f64, pool_time: f64) -> bool {
        const HEALTHY_POOL_RATE: f64 = 0.5;
        const MIN_SLOW_S: f64 = 0.02;
        let has_repeated_failures =
            self.failure_score >= settings.failure_threshold && pool_rate > HEALTHY_POOL_RATE;
        let has_low_success_rate =
            self.samples >= settings.min_samples && self.rate < pool_rate * settings.relative_rate;
        let slow_s = (pool_time * settings.relative_time).max(MIN_SLOW_S);
        let is_slow = self.probe_time.is_some_and(|time| time > slow_s);
        has_repeated_failures || has_low_success_rate || is_slow
    }

    pub(crate) fn eject(&mut self, now: Instant, settings: &Settings) {
        self.is_ejected = true;
        self.good_probes = 0;
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(settings.max_backoff);
    }

    /// Returns whether an ejected instance may be readmitted.
    pub(crate) fn is_recovered(&self, now: Instant) -> bool {
        self.good_probes >= PROBES_TO_READMIT && self.retry_at.is_some_and(|at| now >= at)
    }

    /// Readmits the instance on probation: the next failure ejects it at once.
    pub(crate) fn start_probation(&mut self, settings: &Settings) {
        self.is_ejected = false;
        self.is_failing = false;
        self.failure_score = settings.failure_threshold.saturating_sub(1);
        self.rate = 1.0;
        self.samples = 0;
        self.probe_time = None;
    }

    /// Resets the backoff once enough requests have been sampled since the last readmission, unless
    /// failures have followed the last good one.
    pub(crate) fn reset_backoff(&mut self, settings: &Settings) {
        const SETTLED_SAMPLES: u32 = 100;
        if !self.is_ejected && self.samples >= SETTLED_SAMPLES && self.failure_score == 0 {
            self.backoff = settings.min_backoff;
        }
    }
}
