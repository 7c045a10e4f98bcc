use super::Id;
use serde::{Deserialize, Serialize};

/// Describes an entry to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation.
    pub id: Id,
    /// The name from the settings, the same over restarts.
    pub name: String,
    /// Where callers connect, `IP:PORT`.
    pub address: String,
    /// Where peers connect, `IP:PORT`.
    pub peer_address: String,
    /// The data centre from the settings.
    pub data_centre: String,
}
