//! An abstraction of the clock, so that tests can control time.

mod manual;
mod system;

pub use manual::Manual;
pub use system::System;

use std::time::{Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time of this process.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which differs between instances within the configured bound.
    fn wall(&self) -> SystemTime;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        self.wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}
