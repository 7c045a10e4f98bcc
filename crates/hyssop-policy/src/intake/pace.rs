use std::time::Duration;

/// The longest wait. Units stay taken when a wait is given up, so that without a bound all others would
/// wait for work that is never done.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Bounds the rate of work that callers cause, by the time at which each piece of it may go on.
#[derive(Clone, Debug)]
pub struct Pace {
    interval: Duration,
    burst: Duration,
    next_at: Duration,
}

impl Pace {
    /// Allows `rate` units a second, and as many as `burst` allows at once.
    pub fn new(rate: u32, burst: Duration) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate.max(1),
            burst,
            next_at: Duration::ZERO,
        }
    }

    /// Takes `units` and returns how long to wait before they may be used.
    pub fn take(&mut self, units: u32, now: Duration) -> Duration {
        let earliest = now.saturating_sub(self.burst);
        let next_at = self.next_at.max(earliest) + self.interval * units;
        self.next_at = next_at.min(now + MAX_WAIT);
        self.next_at.saturating_sub(now)
    }
}
