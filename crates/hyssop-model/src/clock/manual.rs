use super::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// A clock for tests, which stands still until advanced.
#[derive(Debug)]
pub struct Manual {
    origin: Instant,
    elapsed_ms: AtomicU64,
}

impl Default for Manual {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            elapsed_ms: AtomicU64::new(0),
        }
    }
}

impl Manual {
    /// Advances both clocks by `step`, rounded down to milliseconds.
    pub fn advance(&self, step: Duration) {
        self.elapsed_ms
            .fetch_add(step.as_millis() as u64, Ordering::SeqCst);
    }

    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.elapsed_ms.load(Ordering::SeqCst))
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        const WALL_CLOCK_ORIGIN: Duration = Duration::from_secs(1_800_000_000);
        SystemTime::UNIX_EPOCH + WALL_CLOCK_ORIGIN + self.elapsed()
    }
}
