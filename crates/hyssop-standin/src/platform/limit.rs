use std::time::Instant;

/// A token bucket with a capacity of one second's permits.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    permits: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            permits: f64::from(per_second),
            refilled_at: Instant::now(),
        }
    }

    /// Removes `count` permits and returns whether enough were available.
    ///
    /// A `count` above the capacity is reduced to it, since it could never be granted.
    pub(crate) fn try_acquire(&mut self, count: usize) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.permits = (self.permits + elapsed * self.per_second).min(self.per_second);
        let requested = (count as f64).min(self.per_second);
        if self.permits < requested {
            return false;
        }
        self.permits -= requested;
        true
    }
}
