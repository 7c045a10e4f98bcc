use super::Size;
use crate::class::Class;

/// Is what a caller asks for when it submits a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The pool whose workers run it.
    pub pool: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// The urgency.
    pub class: Class,
    /// The command reference.
    pub command: String,
    /// What it declares to need.
    pub size: Size,
    /// Whether it may be started again after a start that may have run.
    pub is_idempotent: bool,
}
