use hyssop_model::instance;
use serde::{Deserialize, Serialize};

/// The loan of one slot of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loan {
    /// The ID of the loan, which increases with each loan of the lender and is never reused.
    #[serde(rename = "i")]
    pub id: u64,
    /// The instance.
    #[serde(rename = "n")]
    pub instance: instance::Key,
    /// The index of the slot, starting at 0.
    #[serde(rename = "s")]
    pub index: u8,
}
