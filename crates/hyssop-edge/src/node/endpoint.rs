use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One process of a node, and its address for links from peers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) node: String,
    /// The process, distinct from earlier processes of the same node.
    pub(crate) process: String,
    pub(crate) address: SocketAddr,
}
