use super::Answer;
use serde::{Deserialize, Serialize};

/// The result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The request ran, with this response.
    #[serde(rename = "a")]
    Answered(Answer),
    /// The request was certainly not sent.
    #[serde(rename = "n")]
    NotRun,
    /// The request may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// The report of a claimed request's result to the home; idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The ID of the granted claim request.
    #[serde(rename = "i")]
    pub id: u64,
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The result of the request.
    #[serde(rename = "r")]
    pub end: End,
}

/// The acknowledgement of a [`Settlement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettlementAck {
    /// The ID of the granted claim request.
    #[serde(rename = "i")]
    pub id: u64,
}
