/// A request to start a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The worker's identifier.
    pub worker: String,
    /// The task's name.
    pub task: String,
    /// The run's number.
    pub run: u64,
    /// The job's specification, as submitted.
    pub specification: String,
    /// When the lease expires on the worker's clock, in milliseconds.
    pub until_ms: i64,
    /// The fencing token.
    pub fence: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The advice service's ticket, if the queue requires one.
    pub ticket: Option<String>,
}
