use hyssop_model::{entry, instance};

/// Permits one request in progress on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Grant {
    /// The instance.
    pub instance: instance::Key,
    /// The slot, from 0.
    pub index: u8,
    /// The lender and the loan's id, for a borrowed slot.
    pub loan: Option<(entry::Id, u64)>,
}
