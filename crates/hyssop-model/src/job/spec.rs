use super::Size;
use crate::class::Class;

/// The specification of a job, as its caller submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The pool whose workers run it.
    pub pool: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// The urgency class.
    pub class: Class,
    /// The command reference.
    pub command: String,
    /// The resources that the job requests.
    pub size: Size,
    /// Whether the job may be started again after a start whose outcome is unknown.
    pub is_idempotent: bool,
}
