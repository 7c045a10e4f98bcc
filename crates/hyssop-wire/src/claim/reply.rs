use super::Answer;
use serde::{Deserialize, Serialize};

/// Is the home's decision on an [`Ask`](super::Ask).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The asker, and nobody else, may send the request once.
    #[serde(rename = "g")]
    Granted,
    /// A request with this key is running.
    #[serde(rename = "p")]
    InProgress,
    /// The request ran; this was its answer.
    #[serde(rename = "r")]
    Repeated(Answer),
    /// The request may have run; it will never be sent again.
    #[serde(rename = "u")]
    Unknown,
    /// The home can't decide now; the request was not sent.
    #[serde(rename = "n")]
    NotNow,
    /// The key was used for another request.
    #[serde(rename = "m")]
    Mismatch,
    /// The key was minted ahead of the home's clock, which reads this many milliseconds.
    #[serde(rename = "a")]
    Ahead(u64),
    /// The key has no form that this home knows.
    #[serde(rename = "x")]
    Malformed,
}

/// Answers an [`Ask`](super::Ask).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The id of the question.
    #[serde(rename = "i")]
    pub id: u64,
    /// The key of the question.
    #[serde(rename = "k")]
    pub key: String,
    /// The decision.
    #[serde(rename = "v")]
    pub verdict: Verdict,
}
