use super::Resources;
use serde::{Deserialize, Serialize};

/// Describes one step of a job: tasks of one shape.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// The submitter's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps, by number, whose tasks must all be done first.
    pub after: Vec<usize>,
    /// Whether a task's progress survives a stop.
    pub checkpoints: bool,
    /// Whether the tasks run only all together.
    pub gang: bool,
    /// Whether the tasks run slower on more than one rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub rack: Option<String>,
    /// The most tasks of the step on one worker; 0 for no limit.
    pub most_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasts: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The bound on a serving task's tail latency, in milliseconds; 0 for none.
    pub tail_ms: u64,
    /// Whether the tasks use only what others leave, and hold no processor of their own.
    pub fills: bool,
    /// How many tasks may be away at once through the system's own actions; `None` for no budget.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns how many lasting tasks may be away at once through the system's own actions; one at
    /// a time where there is no budget.
    pub fn budget(&self) -> u32 {
        self.may_miss.unwrap_or(1)
    }

    /// Returns what a task reserves on a worker.
    pub fn reserved(&self) -> Resources {
        if self.fills {
            Resources {
                cpu: 0,
                ..self.need
            }
        } else {
            self.need
        }
    }
}
