use super::Loan;
use serde::{Deserialize, Serialize};

/// Slots lent to the receiver, which returns at once those that it can't use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lend {
    /// The epoch under which the lender is the slots' home.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// How long after receipt the borrower may start requests on the slots, in milliseconds.
    #[serde(rename = "t")]
    pub tenure_ms: u64,
    /// The loans, one per slot.
    #[serde(rename = "l")]
    pub loans: Vec<Loan>,
}

/// Loans returned to their lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The IDs of the loans.
    #[serde(rename = "l")]
    pub loans: Vec<u64>,
    /// Whether the sender still needs as many slots.
    #[serde(rename = "m")]
    pub wants_more: bool,
}
