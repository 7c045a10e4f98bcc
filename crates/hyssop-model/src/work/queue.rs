use std::time::Duration;

/// Describes one queue of jobs, as operators configure it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host that selects the queue.
    pub host: String,
    /// The path prefix that selects the queue.
    pub prefix: String,
    /// The pool whose workers run the queue's tasks.
    pub pool: String,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u32,
    /// The latency objective is this factor of the longest chain of steps, plus `objective`.
    pub stretch: f64,
    /// The fixed part of the latency objective.
    pub objective: Duration,
    /// Whether a start on this queue needs a ticket from the advice service.
    pub needs_advice: bool,
}
