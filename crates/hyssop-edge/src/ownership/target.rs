use crate::node::Endpoint;

/// A process that is to be watched.
pub(super) struct Target {
    pub(super) endpoint: Endpoint,
    /// The shards that it owns; none for a fellow candidate.
    pub(super) shards: Vec<String>,
    /// Whether it is watched only because of a report.
    pub(super) is_reported: bool,
}

impl Target {
    pub(super) fn new(endpoint: Endpoint, is_reported: bool) -> Self {
        Self {
            endpoint,
            shards: Vec::new(),
            is_reported,
        }
    }
}
