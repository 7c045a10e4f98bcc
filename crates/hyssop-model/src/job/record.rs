use super::{Size, Spec, State};
use crate::class::Class;
use serde::{Deserialize, Serialize};

/// A job's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The job's id.
    pub id: String,
    /// The pool whose workers run the job.
    pub pool: String,
    /// The team whose quota the job counts against.
    pub team: String,
    /// The urgency class.
    pub class: Class,
    /// The reference of the command to run.
    pub command: String,
    /// The resources that the job requests.
    pub size: Size,
    /// Whether the job may be started again after a start whose outcome is unknown.
    pub is_idempotent: bool,
    /// When it was submitted, in milliseconds of the wall clock.
    pub submitted_ms: u64,
    /// The job's state.
    pub state: State,
    /// The worker assigned last.
    pub worker: Option<String>,
    /// The fencing token, which grows with each start.
    pub fence: u64,
    /// When the lease of the last start expires unless renewed, in milliseconds of the wall clock.
    pub lease_ends_ms: u64,
    /// The workers on which the job failed.
    pub failed_on: Vec<String>,
    /// Whether the caller cancelled the job.
    pub is_cancelled: bool,
    /// The reason for the state; empty where the state needs none.
    pub reason: String,
}

impl Record {
    /// Creates the first row of a job, in the state [`State::Queued`].
    pub fn new(id: impl Into<String>, spec: Spec, submitted_ms: u64) -> Self {
        Self {
            id: id.into(),
            pool: spec.pool,
            team: spec.team,
            class: spec.class,
            command: spec.command,
            size: spec.size,
            is_idempotent: spec.is_idempotent,
            submitted_ms,
            state: State::Queued,
            worker: None,
            fence: 0,
            lease_ends_ms: 0,
            failed_on: Vec::new(),
            is_cancelled: false,
            reason: String::new(),
        }
    }
}
