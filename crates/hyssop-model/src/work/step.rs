use super::Resources;
use serde::{Deserialize, Serialize};

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The submitter's rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// The numbers of earlier steps whose tasks must all be done first.
    pub after: Vec<usize>,
    /// Whether tasks save checkpoints, so that progress survives a stop.
    pub checkpoints: bool,
    /// Whether the tasks run as a gang, all at the same time or not at all.
    pub gang: bool,
    /// Whether the tasks run faster when all are on one rack.
    pub one_rack: bool,
    /// The label that the worker must have.
    pub label: Option<String>,
    /// The rack where the data is.
    pub rack: Option<String>,
    /// The maximum number of the step's tasks on one worker; 0 for no limit.
    #[serde(rename = "most_per_worker")]
    pub max_per_worker: u32,
    /// Whether duplicate runs of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks are long-running, that is, run until the job is cancelled.
    #[serde(rename = "lasts")]
    pub is_long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The maximum tail latency of a serving task, in milliseconds; 0 for no bound.
    #[serde(rename = "tail_ms")]
    pub max_tail_latency_ms: u64,
    /// Whether the tasks are best-effort, that is, reserve no CPU and use what other tasks leave.
    #[serde(rename = "fills")]
    pub is_best_effort: bool,
    /// The maximum number of tasks unavailable at once through the system's own actions; `None` for
    /// no budget.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the maximum number of long-running tasks unavailable at once through the system's
    /// own actions; one if the step has no budget.
    pub fn budget(&self) -> u32 {
        self.max_unavailable.unwrap_or(1)
    }

    /// Returns the resources that a task reserves on a worker.
    pub fn reserved(&self) -> Resources {
        if self.is_best_effort {
            Resources {
                cpu: 0,
                ..self.need
            }
        } else {
            self.need
        }
    }
}
