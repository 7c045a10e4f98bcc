use hyssop_model::instance;
use serde::{Deserialize, Serialize};

/// Lends one slot of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Loan {
    /// Grows with each loan of the lender and is never used twice.
    #[serde(rename = "i")]
    pub id: u64,
    /// The instance.
    #[serde(rename = "n")]
    pub instance: instance::Key,
    /// The slot, from 0.
    #[serde(rename = "s")]
    pub index: u8,
}
