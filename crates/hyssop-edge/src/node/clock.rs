use nix::time::{clock_gettime, ClockId};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A clock for the time since the process started and for the time of day.
///
/// It includes the time in which the instance was suspended, so that leases measured with it have
/// expired when the instance resumes.
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

    /// Returns the time of day in milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self) -> i64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as i64)
    }
}

/// Returns the time since boot, including the time spent suspended.
///
/// # Panics
///
/// Panics when the system lacks `CLOCK_BOOTTIME`, which every supported Linux provides.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the system has a boot clock")
        .into()
}
