use hyssop_model::instance;
use std::time::Instant;

/// Is a slot on loan from a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Borrowed {
    pub(crate) instance: instance::Key,
    pub(crate) index: u8,
    /// The epoch under which it was lent.
    pub(crate) epoch: u64,
    /// No request starts after this.
    pub(crate) start_by: Instant,
    /// Since when it has stood idle; `None` while a request runs.
    pub(crate) idle_since: Option<Instant>,
}
