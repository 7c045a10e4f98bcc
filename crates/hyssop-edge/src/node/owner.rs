use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The stored row that names a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// Increases with each change of owner; the fencing token of the owner's orders.
    pub(crate) term: u64,
    /// The owner's node.
    pub(crate) node: String,
    /// The owner's process, distinct from earlier processes of the same node.
    pub(crate) process: String,
    /// The address for links from peers.
    pub(crate) address: SocketAddr,
    /// Whether the owner has released the shard.
    pub(crate) is_released: bool,
}

/// The stored row that registers a process with its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The node.
    pub(crate) node: String,
    /// The process, distinct from earlier processes of the same node.
    pub(crate) process: String,
    /// The address for links from peers.
    pub(crate) address: SocketAddr,
    /// The CPU share of its instance, in thousandths of a core.
    pub(crate) share: u64,
    /// Whether the process is stopping and must not take over shards.
    pub(crate) is_leaving: bool,
}
