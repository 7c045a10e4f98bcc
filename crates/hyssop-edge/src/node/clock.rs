use nix::time::{clock_gettime, ClockId};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Tells the time since the process started, and the time of day.
///
/// It counts the time in which the instance was suspended, so that leases measured by it have
/// run out when it wakes.
#[derive(Clone)]
pub(crate) struct Clock {
    origin: Rc<Duration>,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            origin: Rc::new(boot_time()),
        }
    }

    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> Duration {
        boot_time().saturating_sub(*self.origin)
    }

    /// Returns the time of day in Unix milliseconds.
    pub(crate) fn wall_ms(&self) -> i64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as i64)
    }
}

/// # Panics
///
/// Panics when the system has no such clock, which every Linux has.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the system has a boot clock")
        .into()
}
