use super::{Outcome, Task};

/// A worker's report of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: i64,
    /// The worker's incarnation, if reported.
    pub incarnation: Option<i64>,
    /// The runs in progress.
    pub running: Vec<Running>,
    /// The finished runs not yet acknowledged.
    pub completions: Vec<Completion>,
    /// Whether the worker may have more such completions, which it reports once these are
    /// acknowledged.
    pub has_more_completions: bool,
}

/// One run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run's number.
    pub run: u64,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; for a long-running task, 100 once it serves.
    pub percent: f64,
    /// A measurement over the last half second: the tail latency in milliseconds of a serving task,
    /// or else CPU use.
    pub gauge: Option<f64>,
}

/// One finished run.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The sequence number of the completion within the worker's incarnation, starting at 1.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run's number.
    pub run: u64,
    /// The outcome of the run.
    pub outcome: Outcome,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
}
