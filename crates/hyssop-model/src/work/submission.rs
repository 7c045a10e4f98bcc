use super::{Schedule, Step};
use serde::{Deserialize, Serialize};

/// Holds a job as its caller handed it in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Passed on to each task as it is.
    pub specification: String,
    /// The steps, in the order of their numbers.
    pub steps: Vec<Step>,
    /// When the job's occurrences are due; `None` for a job that runs once, at once.
    pub schedule: Option<Schedule>,
}

impl Submission {
    /// Returns the longest chain of steps, in milliseconds, where a task of step `n` takes
    /// `duration(n)` milliseconds.
    pub fn chain_ms(&self, duration: impl Fn(usize) -> f64) -> f64 {
        let mut ends = vec![0.0_f64; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().map(|&n| ends[n]).fold(0.0, f64::max);
            ends[number] = begin + duration(number);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Tells whether any step runs until the job is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasts)
    }
}
