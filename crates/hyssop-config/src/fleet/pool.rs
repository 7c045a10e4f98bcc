use super::{Queue, Share};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Is one pool's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// The least number of healthy serving instances.
    pub budget: u32,
    /// How many racks the pool must survive losing and still hold its budget.
    pub survive_racks: u32,
    /// How many instances the pool has in quiet times.
    pub size: u32,
    /// How instances are shared, unless an exception says otherwise.
    pub share: Share,
    /// How many bytes of requests one entry queues for the pool.
    pub queue_bytes: u64,
    /// How long one entry waits for an answer of a backend server.
    pub answer_timeout: Duration,
    /// The queues; one named `default` always stands.
    pub queues: Vec<Queue>,
}

impl Pool {
    /// The name of the queue of requests that name none.
    pub const DEFAULT_QUEUE: &'static str = "default";
}
