use super::{Sample, Settings};
use std::time::{Duration, Instant};

/// Is what this entry knows of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub(crate) pool: String,
    /// The strikes since the last good sample.
    strikes: u32,
    /// The moving success rate.
    pub(crate) rate: f64,
    /// The moving time to answer of probes, in seconds.
    pub(crate) probe_time: Option<f64>,
    pub(crate) samples: u32,
    /// Whether requests are kept away.
    pub(crate) is_ejected: bool,
    /// Whether this entry's own samples speak against it.
    pub(crate) is_failing: bool,
    backoff: Duration,
    /// When an ejected instance is tried again.
    pub(crate) retry_at: Option<Instant>,
    good_probes: u32,
}

/// The weight of the newest sample in a moving rate.
const RATE_WEIGHT: f64 = 0.1;

/// The good probes in a row that bring an ejected instance back.
const PROBES_TO_RETURN: u32 = 2;

impl Subject {
    pub(crate) fn new(pool: &str, settings: &Settings) -> Self {
        Self {
            pool: pool.to_owned(),
            strikes: 0,
            rate: 1.0,
            probe_time: None,
            samples: 0,
            is_ejected: false,
            is_failing: false,
            backoff: settings.shortest_backoff,
            retry_at: None,
            good_probes: 0,
        }
    }

    /// Takes in a sample of a request.
    pub(crate) fn observe(&mut self, sample: Sample) {
        self.samples = self.samples.saturating_add(1);
        let value = if sample.is_good() { 1.0 } else { 0.0 };
        self.rate += RATE_WEIGHT * (value - self.rate);
        self.strikes = match sample {
            Sample::Answered(_) => 0,
            _ => self.strikes.saturating_add(sample.strikes()),
        };
    }

    /// Takes in a sample of a probe.
    pub(crate) fn probe(&mut self, sample: Sample) {
        match sample {
            Sample::Answered(took) => {
                let time = took.as_secs_f64();
                let old = self.probe_time.unwrap_or(time);
                self.probe_time = Some(old + 2.0 * RATE_WEIGHT * (time - old));
                self.good_probes += 1;
            }
            _ => {
                self.good_probes = 0;
                self.strikes = self.strikes.saturating_add(sample.strikes());
            }
        }
    }

    /// Tells whether the samples speak against the instance, given its pool's moving averages.
    pub(crate) fn judge(&self, settings: &Settings, pool_rate: f64, pool_time: f64) -> bool {
        const HEALTHY_POOL_RATE: f64 = 0.5;
        const LEAST_SLOW_S: f64 = 0.02;
        let is_striking = self.strikes >= settings.strikes && pool_rate > HEALTHY_POOL_RATE;
        let is_unsuccessful = self.samples >= settings.least_samples
            && self.rate < pool_rate * settings.relative_rate;
        let slow_s = (pool_time * settings.relative_time).max(LEAST_SLOW_S);
        let is_slow = self.probe_time.is_some_and(|time| time > slow_s);
        is_striking || is_unsuccessful || is_slow
    }

    pub(crate) fn eject(&mut self, now: Instant, settings: &Settings) {
        self.is_ejected = true;
        self.good_probes = 0;
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(settings.longest_backoff);
    }

    /// Tells whether probes brought an ejected instance back to its trial.
    pub(crate) fn may_return(&self, now: Instant) -> bool {
        self.good_probes >= PROBES_TO_RETURN && self.retry_at.is_some_and(|at| now >= at)
    }

    /// Lets requests go there again; the next failure ejects it at once.
    pub(crate) fn put_on_trial(&mut self, settings: &Settings) {
        self.is_ejected = false;
        self.is_failing = false;
        self.strikes = settings.strikes.saturating_sub(1);
        self.rate = 1.0;
        self.samples = 0;
        self.probe_time = None;
    }

    /// Forgets earlier failures after a run of good answers.
    pub(crate) fn settle(&mut self, settings: &Settings) {
        const SETTLED_SAMPLES: u32 = 100;
        if !self.is_ejected && self.samples >= SETTLED_SAMPLES && self.strikes == 0 {
            self.backoff = settings.shortest_backoff;
        }
    }
}
