use super::Arrival;
use crate::slot::{AntiAffinity, Grant};
use hyssop_model::prelude::*;

/// A request that waits or is in flight.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) pool: pool::Key,
    pub(crate) flow: flow::Key,
    pub(crate) arrived_at: Instant,
    /// The slot and the start time of the current attempt, `None` while the request waits.
    pub(crate) attempt: Option<(Grant, Instant)>,
    /// The number of attempts so far.
    pub(crate) attempts: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// The instances and racks of earlier attempts, which a retry avoids.
    pub(crate) avoid: AntiAffinity,
}
