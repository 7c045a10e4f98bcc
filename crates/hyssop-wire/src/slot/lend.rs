use super::Loan;
use serde::{Deserialize, Serialize};

/// Lends slots to the receiver, who returns what it can't use at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lend {
    /// The epoch under which the lender is the slots' home.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// How long the borrower may start requests on the slots, in milliseconds from receipt.
    #[serde(rename = "t")]
    pub tenure_ms: u64,
    /// The slots.
    #[serde(rename = "l")]
    pub loans: Vec<Loan>,
}

/// Gives lent slots back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The ids of the loans.
    #[serde(rename = "l")]
    pub loans: Vec<u64>,
    /// Whether the sender could use as many slots again.
    #[serde(rename = "m")]
    pub wants_more: bool,
}
