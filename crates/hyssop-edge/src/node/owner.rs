use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Is the row in which a part's owner stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// Rises with each change of owner; the fence of its orders.
    pub(crate) term: u64,
    /// The owner's node.
    pub(crate) node: String,
    /// The owner's process, told apart from earlier ones of its node.
    pub(crate) process: String,
    /// Where peers reach it.
    pub(crate) address: SocketAddr,
    /// Whether it has given the part up.
    pub(crate) is_released: bool,
}

/// Is the row in which a process makes itself known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The node.
    pub(crate) node: String,
    /// The process, told apart from earlier ones of its node.
    pub(crate) process: String,
    /// Where peers reach it.
    pub(crate) address: SocketAddr,
    /// Its share of a processor, in thousandths of a core.
    pub(crate) share: u64,
    /// Whether it is leaving and should take no part over.
    pub(crate) is_leaving: bool,
}
