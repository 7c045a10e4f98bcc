use super::Answer;
use serde::{Deserialize, Serialize};

/// The home's decision on a [`Request`](super::Request).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is granted: only its requester may send the keyed request, once.
    #[serde(rename = "g")]
    Granted,
    /// A request with this key is already in progress.
    #[serde(rename = "p")]
    InProgress,
    /// The request has already run, with this response.
    #[serde(rename = "r")]
    Repeated(Answer),
    /// The request may have run, so it is never sent again.
    #[serde(rename = "u")]
    Unknown,
    /// The home can't decide at present; the request was not sent.
    #[serde(rename = "n")]
    NotNow,
    /// The key was already used for a different request.
    #[serde(rename = "m")]
    Mismatch,
    /// The key's timestamp is ahead of the home's clock, whose reading in milliseconds this is.
    #[serde(rename = "a")]
    Ahead(u64),
    /// The key's format is invalid.
    #[serde(rename = "x")]
    Malformed,
}

/// The reply to a [`Request`](super::Request).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The ID of the claim request.
    #[serde(rename = "i")]
    pub id: u64,
    /// The key of the claim request.
    #[serde(rename = "k")]
    pub key: String,
    /// The home's decision.
    #[serde(rename = "v")]
    pub verdict: Verdict,
}
