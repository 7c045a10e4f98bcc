use super::{Pool, Queue};
use std::collections::BTreeMap;

/// Holds one version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each change, in uneven steps; 0 before the first configuration.
    pub version: u64,
    /// The queues, by name.
    pub queues: BTreeMap<String, Queue>,
    /// The pools, by name.
    pub pools: BTreeMap<String, Pool>,
    /// The largest body of a caller's request, in bytes.
    pub body_bytes: Option<usize>,
}

impl Configuration {
    /// Finds the queue whose host matches and whose prefix is the longest that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
