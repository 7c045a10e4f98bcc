/// Describes the start of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The worker's identifier.
    pub worker: String,
    /// The task's name.
    pub task: String,
    /// The number of the start.
    pub run: u64,
    /// What the caller handed in.
    pub specification: String,
    /// The end of the lease on the worker's clock, in milliseconds.
    pub until_ms: i64,
    /// The fencing token.
    pub fence: u64,
    /// The checkpoint to go on from; empty for none.
    pub checkpoint: String,
    /// The advice service's ticket, where the queue needs one.
    pub ticket: Option<String>,
}
