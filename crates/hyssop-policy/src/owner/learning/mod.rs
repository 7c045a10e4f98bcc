//! Expected durations of tasks, learned from finished runs.
//!
//! Callers' estimates are off by up to 90%, while tasks of one image behave alike. The
//! [`Estimator`] therefore keeps a mean and a distribution for each image, falls back to those of
//! the queue and then to the caller's estimate while few runs are known, and takes from the
//! estimate only what it has proved to tell. Reasons and measurements are in
//! docs/design/18-expected-durations.md.

mod estimator;
mod moments;
mod observation;
mod residuals;
mod row;
mod score;
mod storing;
mod track;
mod tuning;

pub use estimator::{Estimator, Expectation, Kind, Place, Verdict};
pub use score::Accuracy;
pub(super) use score::Scores;
pub(super) use storing::{Stored, LEARNING};
pub use tuning::Tuning;

use super::Scheduler;
use hyssop_model::work::Step;

/// Returns what the duration of a task of `step` in `queue` is expected from.
pub(super) fn kind<'a>(queue: &'a str, step: &'a Step) -> Kind<'a> {
    Kind {
        queue,
        image: &step.image,
        estimate_ms: step.estimate_ms,
    }
}

impl Scheduler {
    /// Returns the expected duration of a task of `step` in `queue`, in milliseconds.
    pub fn expected_ms(&self, queue: &str, step: &Step) -> f64 {
        self.learning.expected_ms(kind(queue, step))
    }

    /// Returns the expected duration of a task of `step` in `queue`, a high quantile of it and the
    /// number of runs from which they were learned.
    pub fn expectation(&self, queue: &str, step: &Step) -> Expectation {
        self.learning.expectation(kind(queue, step))
    }
}
