use super::Id;
use serde::{Deserialize, Serialize};

/// An entry as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The incarnation's identifier.
    pub id: Id,
    /// The name from the settings, stable across restarts.
    pub name: String,
    /// The address for callers, `IP:PORT`.
    pub address: String,
    /// The address for peers, `IP:PORT`.
    pub peer_address: String,
    /// The data centre from the settings.
    pub data_centre: String,
}
