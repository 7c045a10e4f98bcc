use serde::{Deserialize, Serialize};

/// The schedule of a job's occurrences, by the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When occurrence 0 is due, in Unix milliseconds.
    pub first_ms: i64,
    /// The time between occurrences, in milliseconds.
    pub interval_ms: i64,
    /// The number of occurrences.
    pub count: u32,
}

impl Schedule {
    /// Returns the time at which occurrence `number` is due, in Unix milliseconds; the last time
    /// that there is for one beyond it.
    pub fn due_ms(&self, number: u32) -> i64 {
        self.interval_ms
            .saturating_mul(i64::from(number))
            .saturating_add(self.first_ms)
    }
}
