use super::{inventory, quota};
use hyssop_model::job::{Record, Size};
use std::time::Instant;

/// Is a job as the scheduler keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) record: Record,
    pub(crate) team: quota::Key,
    /// The worker that it holds room on.
    pub(crate) worker: Option<inventory::Key>,
    /// What is reserved for it on its worker.
    pub(crate) reserved: Size,
    /// When its lease is certainly over.
    pub(crate) over_at: Option<Instant>,
    /// Whether it was asked to make room.
    pub(crate) is_throttled: bool,
    pub(crate) is_ending: bool,
    pub(crate) sequence: u64,
}
