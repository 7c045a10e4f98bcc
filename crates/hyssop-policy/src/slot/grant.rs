use hyssop_model::{entry, instance};

/// The right to have one request in flight on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Grant {
    /// The instance.
    pub instance: instance::Key,
    /// The slot's index, from 0.
    pub index: u8,
    /// The lender and the loan's ID, for a slot on loan from a peer.
    pub loan: Option<(entry::Id, u64)>,
}
