use serde::{Deserialize, Serialize};

/// Asks for the claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Names this question between the asker and the home.
    #[serde(rename = "i")]
    pub id: u64,
    /// The epoch that the asker acts in.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The key as the caller sent it.
    #[serde(rename = "k")]
    pub key: String,
    /// A hash of the request's method, path and body: a repeat must be the same request.
    #[serde(rename = "f")]
    pub fingerprint: u64,
}
