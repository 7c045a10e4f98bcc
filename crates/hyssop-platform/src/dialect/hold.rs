/// Describes an extension of what runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The worker's identifier.
    pub worker: String,
    /// The new end on the worker's clock, in milliseconds; `None` extends nothing.
    pub until_ms: Option<i64>,
    /// The fencing token.
    pub fence: u64,
    /// Endings up to this number are acknowledged.
    pub acknowledged: u64,
    /// How long the worker may wait for an ending, in milliseconds.
    pub wait_ms: u64,
}
