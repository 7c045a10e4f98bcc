use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long the advice service takes for a request about a queue's steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceTime {
    /// The time for each request.
    pub decision: Duration,
    /// The time for each worker that a request names.
    pub per_worker: Duration,
}

impl AdviceTime {
    /// Returns the time that a request about `count` workers takes.
    pub fn of_request(self, count: usize) -> Duration {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.decision
            .saturating_add(self.per_worker.saturating_mul(count))
    }
}
