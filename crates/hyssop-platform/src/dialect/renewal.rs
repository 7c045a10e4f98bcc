/// A renewal of the lease of all runs on a worker, which also requests the worker's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The worker's identifier.
    pub worker: String,
    /// The new end on the worker's clock, in milliseconds; `None` extends nothing.
    pub until_ms: Option<i64>,
    /// The fencing token.
    pub fence: u64,
    /// The sequence number up to which completions are acknowledged.
    pub acknowledged: u64,
    /// How long the worker may wait for a completion before it responds, in milliseconds.
    pub wait_ms: u64,
}
