use super::Resources;
use std::net::SocketAddr;

/// Describes one life of a worker, as the platform's registry lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The worker's identifier; a restart may keep it.
    pub id: String,
    /// Tells lives under one identifier apart: Unix milliseconds of the start.
    pub incarnation: i64,
    /// The pool that it belongs to.
    pub pool: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its labels, kind and rack among them.
    pub labels: Vec<String>,
    /// What it can run at once.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// The least time that a leaving worker goes on, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The instance below it.
    pub instance: String,
}

impl Worker {
    /// Returns the label that names the rack: the last one, or an empty text.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}
