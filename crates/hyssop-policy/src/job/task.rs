use super::{inventory, quota};
use hyssop_model::job::{Record, Size};
use std::time::Instant;

/// A job, which the platform runs as a task, with its scheduling state.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) record: Record,
    pub(crate) team: quota::Key,
    /// The worker on which capacity is reserved.
    pub(crate) worker: Option<inventory::Key>,
    /// The size reserved on the worker.
    pub(crate) reserved: Size,
    /// When the lease has certainly expired.
    pub(crate) expires_at: Option<Instant>,
    /// Whether its CPU was halved for an urgent job.
    pub(crate) is_throttled: bool,
    /// Whether it was signalled to stop or to checkpoint.
    pub(crate) is_stopping: bool,
    /// The scheduler's sequence number of the submission.
    pub(crate) sequence: u64,
}
