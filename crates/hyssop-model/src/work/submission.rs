use super::{Schedule, Step};
use serde::{Deserialize, Serialize};

/// A job as submitted by its caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The specification, passed unchanged to each task.
    pub specification: String,
    /// The steps, indexed by step number.
    pub steps: Vec<Step>,
    /// The schedule of the occurrences; `None` for a job that runs once, immediately.
    pub schedule: Option<Schedule>,
    /// The client account that submitted the job, if callers have accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
}

impl Submission {
    /// Returns the length of the critical path through the steps, in milliseconds, where a task of
    /// step `n` takes `duration(n)` milliseconds.
    pub fn critical_path_ms(&self, duration: impl Fn(usize) -> f64) -> f64 {
        let mut ends = vec![0.0_f64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate() {
            let start = step.after.iter().map(|&n| ends[n]).fold(0.0, f64::max);
            ends[number] = start + duration(number);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Returns whether any step is long-running.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
