use super::{Ending, Task};

/// Holds a worker's account of what runs there and what ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: i64,
    /// The worker's incarnation, where it says so.
    pub incarnation: Option<i64>,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and is not acknowledged yet.
    pub ended: Vec<Ended>,
}

/// One run that is under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The number of the task's start.
    pub run: u64,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; for a lasting task 100 once it serves.
    pub percent: f64,
    /// The last half second: tail latency in milliseconds of a serving task, else processor use.
    pub gauge: Option<f64>,
}

/// One run that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The number of the ending within the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The number of the task's start.
    pub run: u64,
    /// How it ended.
    pub ending: Ending,
    /// The newest checkpoint; empty for none.
    pub checkpoint: String,
}
