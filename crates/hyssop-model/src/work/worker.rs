use super::Resources;
use std::net::SocketAddr;

/// One incarnation of a worker, as listed in the platform's registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// The worker's identifier, which a restart may keep.
    pub id: String,
    /// The start in Unix milliseconds, which distinguishes incarnations of one identifier.
    pub incarnation: i64,
    /// The pool that the worker belongs to.
    pub pool: String,
    /// The address of the worker's API.
    pub address: SocketAddr,
    /// The worker's data centre.
    pub data_centre: String,
    /// The labels, including kind and rack.
    pub labels: Vec<String>,
    /// The resources available to concurrent tasks.
    pub capacity: Resources,
    /// Whether the worker is draining before it leaves.
    pub is_draining: bool,
    /// The minimum time until a draining worker stops, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The instance that runs the worker.
    pub instance: String,
}

impl Worker {
    /// Returns the label of the rack, which is the last one, or an empty string.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}
