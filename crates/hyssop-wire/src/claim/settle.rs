use super::Answer;
use serde::{Deserialize, Serialize};

/// Says how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It ran, with this answer.
    #[serde(rename = "a")]
    Answered(Answer),
    /// It was proven not to have been sent.
    #[serde(rename = "n")]
    NotRun,
    /// It may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// Tells the home how a claimed request ended; a repeat has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The id of the question that was granted.
    #[serde(rename = "i")]
    pub id: u64,
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// How it ended.
    #[serde(rename = "r")]
    pub end: End,
}

/// Confirms a [`Settle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The id of the question that was granted.
    #[serde(rename = "i")]
    pub id: u64,
}
