use crate::slot::AntiAffinity;
use hyssop_model::prelude::*;

/// Is a request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub key: request::Key,
    /// The queue that it belongs to.
    pub flow: flow::Key,
    /// Its urgency.
    pub class: Class,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The memory it takes while it waits, in bytes.
    pub bytes: u64,
    /// What a retry keeps away from.
    pub avoid: AntiAffinity,
}
