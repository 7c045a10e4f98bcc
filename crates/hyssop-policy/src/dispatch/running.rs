use super::Arrival;
use crate::slot::{AntiAffinity, Grant};
use hyssop_model::prelude::*;

/// Is a request that the dispatcher took in.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) arrival: Arrival,
    pub(crate) pool: pool::Key,
    pub(crate) flow: flow::Key,
    pub(crate) arrived: Instant,
    /// The slot and the start of the present attempt.
    pub(crate) attempt: Option<(Grant, Instant)>,
    pub(crate) attempts: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    pub(crate) avoid: AntiAffinity,
}
