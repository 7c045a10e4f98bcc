use super::Answer;
use hyssop_model::entry;
use serde::{Deserialize, Serialize};

/// Is what a home knows of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It was granted to an entry, which has not settled it.
    #[serde(rename = "p")]
    Running {
        /// The entry that may send the request.
        #[serde(rename = "o")]
        owner: entry::Id,
        /// The id of the question that was granted.
        #[serde(rename = "i")]
        ask: u64,
    },
    /// It ran.
    #[serde(rename = "a")]
    Answered(Answer),
    /// It may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// Is one claim of a hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The fingerprint of the key's request.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// What is known of it.
    #[serde(rename = "s")]
    pub state: State,
}

/// Hands a leaving entry's claims to the receiver, as far as it is their successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The position of this part, from 0.
    #[serde(rename = "n")]
    pub part: u32,
    /// The number of parts.
    #[serde(rename = "m")]
    pub parts: u32,
    /// The entries between which the claims are divided by their keys.
    #[serde(rename = "h")]
    pub successors: Vec<entry::Id>,
    /// The claims.
    #[serde(rename = "c")]
    pub claims: Vec<Held>,
}

/// Confirms that every part of a hand-over was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The number of parts.
    #[serde(rename = "m")]
    pub parts: u32,
}
