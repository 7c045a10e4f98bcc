use super::AdviceTime;
use std::time::Duration;

/// The operators' configuration of a queue of jobs.
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
    /// The priority; 0 is served first.
    pub priority: u32,
    /// The number of failures of one task after which its job fails.
    pub max_attempts: u32,
    /// The factor of the job's critical path in the latency objective, which is
    /// `stretch * critical path + objective`.
    pub stretch: f64,
    /// The fixed term of the latency objective.
    pub objective: Duration,
    /// How long the advice service takes, from which starting a task of this queue requires a ticket;
    /// `None` if it requires none.
    pub advice: Option<AdviceTime>,
    /// Whether calls without a key are served.
    pub allows_anonymous: bool,
}
