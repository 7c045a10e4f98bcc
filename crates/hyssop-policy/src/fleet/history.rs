use std::collections::VecDeque;
use std::time::Duration;

/// How long samples are kept.
const RETENTION: Duration = Duration::from_millis(3_000);
/// The time over which the rise of demand is measured; a shorter one shows single jobs.
const SLOPE_WINDOW: Duration = Duration::from_millis(500);

/// Recent samples of the CPU that a pool's tasks reserve or wait for, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    samples: VecDeque<(Duration, u64)>,
}

impl History {
    /// Records the pool's demand at `now`.
    pub(super) fn record(&mut self, now: Duration, cpu: u64) {
        self.samples.push_back((now, cpu));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > RETENTION)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the peak demand since `from`.
    pub(super) fn peak_since(&self, from: Duration) -> u64 {
        self.samples
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, cpu)| *cpu)
            .max()
            .unwrap_or(0)
    }

    /// Extrapolates the demand by `ahead` if it is rising; a falling demand is returned as it is.
    pub(super) fn forecast(&self, ahead: Duration) -> u64 {
        let Some(&(now, current)) = self.samples.back() else {
            return 0;
        };
        let earlier = self
            .samples
            .iter()
            .rev()
            .find(|(at, _)| now.saturating_sub(*at) >= SLOPE_WINDOW);
        let Some(&(at, before)) = earlier else {
            return current;
        };
        let rise = current.saturating_sub(before) as f64;
        let span = now.saturating_sub(at).as_secs_f64();
        current.saturating_add((rise * ahead.as_secs_f64() / span) as u64)
    }
}
