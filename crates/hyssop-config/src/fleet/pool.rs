use super::{Queue, Share};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The configuration of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// The minimum number of healthy instances that are serving.
    pub budget: u32,
    /// The number of racks that the pool can lose without falling below its budget.
    pub survive_racks: u32,
    /// The number of instances of the pool without extra demand.
    pub size: u32,
    /// How the pool shares instances, after exceptions are applied.
    pub share: Share,
    /// The maximum size of the requests that one entry queues for the pool, in bytes.
    pub queue_bytes: u64,
    /// How long an entry waits for a response from a backend server.
    pub answer_timeout: Duration,
    /// The queues, which always include one named `default`.
    pub queues: Vec<Queue>,
}

impl Pool {
    /// The name of the queue for requests that don't name one.
    pub const DEFAULT_QUEUE: &'static str = "default";
}
