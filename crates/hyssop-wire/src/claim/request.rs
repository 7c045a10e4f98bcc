use serde::{Deserialize, Serialize};

/// A request for the claim on a key, sent to the key's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The ID of this claim request, unique between its sender and the home.
    #[serde(rename = "i")]
    pub id: u64,
    /// The sender's membership epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The key as the caller sent it.
    #[serde(rename = "k")]
    pub key: String,
    /// A hash of the keyed request's method, path and body, which a repeat must match.
    #[serde(rename = "f")]
    pub fingerprint: u64,
}
