use std::time::Instant;

/// Is a token bucket that holds one second's worth of permits.
#[derive(Debug)]
pub(crate) struct Limit {
    per_second: f64,
    permits: f64,
    refilled: Instant,
}

impl Limit {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            per_second: f64::from(per_second),
            permits: f64::from(per_second),
            refilled: Instant::now(),
        }
    }

    /// Takes `count` permits, if there are as many.
    pub(crate) fn take(&mut self, count: usize) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.permits = (self.permits + elapsed * self.per_second).min(self.per_second);
        let wanted = (count as f64).min(self.per_second);
        if self.permits < wanted {
            return false;
        }
        self.permits -= wanted;
        true
    }
}
