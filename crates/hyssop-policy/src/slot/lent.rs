use hyssop_model::{entry, instance};

/// Is a slot on loan to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lent {
    pub(crate) to: entry::Id,
    pub(crate) instance: instance::Key,
    pub(crate) index: u8,
    /// The epoch under which it was lent.
    pub(crate) epoch: u64,
}
