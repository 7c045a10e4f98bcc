use crate::slot::AntiAffinity;
use hyssop_model::prelude::*;

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request.
    pub key: request::Key,
    /// The flow of its queue.
    pub flow: flow::Key,
    /// The urgency class.
    pub class: Class,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The memory that the request occupies, in bytes.
    pub bytes: u64,
    /// The instances and racks that a retry avoids.
    pub avoid: AntiAffinity,
}
