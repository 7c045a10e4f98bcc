use hyssop_model::{entry, instance};

/// A slot on loan to a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutboundLoan {
    pub(crate) borrower: entry::Id,
    pub(crate) instance: instance::Key,
    pub(crate) index: u8,
    /// The epoch in which it was lent.
    pub(crate) epoch: u64,
}
