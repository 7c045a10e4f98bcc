use super::{Order, Size, State};
use crate::class::Class;
use serde::{Deserialize, Serialize};

/// Is a job's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The job's id.
    pub id: String,
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
    /// When it was submitted, in milliseconds of the wall clock.
    pub submitted_ms: u64,
    /// How far it is.
    pub state: State,
    /// The worker that was chosen last.
    pub worker: Option<String>,
    /// Grows with each start.
    pub fence: u64,
    /// When the last start's lease ends unless it is renewed, in milliseconds of the wall clock.
    pub lease_ends_ms: u64,
    /// The workers on which it failed.
    pub failed_on: Vec<String>,
    /// Whether its caller withdrew it.
    pub is_cancelled: bool,
    /// Why it is in its state, where that needs a reason.
    pub reason: String,
}

impl Record {
    /// Makes the first row of a job, which waits for a worker.
    pub fn new(id: impl Into<String>, order: Order, submitted_ms: u64) -> Self {
        Self {
            id: id.into(),
            pool: order.pool,
            team: order.team,
            class: order.class,
            command: order.command,
            size: order.size,
            is_idempotent: order.is_idempotent,
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
