use super::Queue;
use serde::{Deserialize, Serialize};

/// The host and the path prefix at which callers reach a queue.
///
/// A job's identifier follows the prefix, so that a request for a job names the same address whichever
/// queue the configuration has there.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Address {
    /// The host.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
}

impl Address {
    /// Returns the address of a configured queue.
    pub fn of(queue: &Queue) -> Self {
        Self {
            host: queue.host.clone(),
            prefix: queue.prefix.clone(),
        }
    }
}
