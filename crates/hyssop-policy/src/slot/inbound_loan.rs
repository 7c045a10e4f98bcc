use hyssop_model::instance;
use std::time::Instant;

/// A slot on loan from a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InboundLoan {
    pub(crate) instance: instance::Key,
    pub(crate) index: u8,
    /// The epoch in which it was lent.
    pub(crate) epoch: u64,
    /// The latest time at which a request may start.
    pub(crate) start_by: Instant,
    /// When it became idle, or `None` while a request is in flight.
    pub(crate) idle_since: Option<Instant>,
}
