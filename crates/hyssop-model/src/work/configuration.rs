use super::{Account, Exclusion, Pool, Queue};
use std::collections::BTreeMap;
use std::time::Duration;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version, which grows with each change, not always by one; 0 before the first
    /// configuration.
    pub version: u64,
    /// The queues, by name.
    pub queues: BTreeMap<String, Queue>,
    /// The pools, by name.
    pub pools: BTreeMap<String, Pool>,
    /// The client accounts, by name; `None` if callers need no account.
    pub accounts: Option<BTreeMap<String, Account>>,
    /// The accounts that are left out.
    pub excluded: Vec<Exclusion>,
    /// The number of queues, pools and accounts that are left out.
    pub rejected: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: Option<usize>,
    /// The maximum size of a request's head, in bytes.
    pub max_header_bytes: Option<usize>,
    /// The time for a request's head, from its first byte.
    pub header_timeout: Option<Duration>,
    /// How long a caller's connection may be without a request.
    pub idle_timeout: Option<Duration>,
}

impl Configuration {
    /// Returns the queue of `host` with the longest prefix that `path` starts with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
