use super::Answer;
use hyssop_model::entry;
use serde::{Deserialize, Serialize};

/// The state of a claimed key at its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The claim was granted to an entry that has not reported the result yet.
    #[serde(rename = "p")]
    Running {
        /// The entry that may send the keyed request.
        #[serde(rename = "o")]
        owner: entry::Id,
        /// The ID of the granted claim request.
        #[serde(rename = "i")]
        ask: u64,
    },
    /// The keyed request ran, with this response.
    #[serde(rename = "a")]
    Answered(Answer),
    /// The keyed request may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// A claim within a hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The fingerprint of the keyed request.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// The state of the claim.
    #[serde(rename = "s")]
    pub state: State,
}

/// One part of the claims that a leaving entry hands over to the receiver, their successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The index of this part, starting at 0.
    #[serde(rename = "n")]
    pub part: u32,
    /// The number of parts.
    #[serde(rename = "m")]
    pub parts: u32,
    /// All successors of the leaving entry; the claims are divided between them by key.
    #[serde(rename = "h")]
    pub successors: Vec<entry::Id>,
    /// The claims of this part.
    #[serde(rename = "c")]
    pub claims: Vec<Record>,
}

/// The acknowledgement that all parts of a hand-over have been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverAck {
    /// The number of parts.
    #[serde(rename = "m")]
    pub parts: u32,
}
