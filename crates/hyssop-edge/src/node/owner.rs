use super::Endpoint;
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
    /// The term whose handover describes a released pool, `None` if there is none. The rows of
    /// earlier versions have none.
    #[serde(default)]
    pub(crate) handover: Option<u64>,
    /// The row's version, 0 if the ownership was learned from a peer.
    #[serde(skip)]
    pub(crate) version: u64,
}

impl Ownership {
    /// Returns the owner's process.
    pub(crate) fn endpoint(&self) -> Endpoint {
        Endpoint {
            node: self.node.clone(),
            process: self.process.clone(),
            address: self.address,
        }
    }
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
    /// The data centre of its instance; empty in the rows of versions that did not store it.
    #[serde(default)]
    pub(crate) data_centre: String,
    /// The CPU share of its instance, in thousandths of a core.
    pub(crate) share: u64,
    /// The memory of its instance, in megabytes; `None` if it is not limited, and in the rows of earlier
    /// versions.
    #[serde(default)]
    pub(crate) memory_mb: Option<u64>,
    /// Whether the process is stopping and must not take over shards.
    pub(crate) is_leaving: bool,
    /// In the row of a stopping process, the version of the row that announced the first stop of
    /// the series of planned stops under way, `None` if this stop is the first one known. The rows
    /// of earlier versions have none.
    #[serde(default)]
    pub(crate) series: Option<u64>,
    /// The row's version, 0 for this process's own row until the store has confirmed it.
    #[serde(skip)]
    pub(crate) version: u64,
}

impl Member {
    /// Returns the member's process.
    pub(crate) fn endpoint(&self) -> Endpoint {
        Endpoint {
            node: self.node.clone(),
            process: self.process.clone(),
            address: self.address,
        }
    }
}
