use serde::{Deserialize, Serialize};

/// Asks for a promise, or gives one, not to act in an epoch newer than `epoch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Names the request that this asks or answers.
    #[serde(rename = "i")]
    pub id: u64,
    /// How long the promise lasts from its giving in milliseconds, or `None` in the request.
    #[serde(rename = "t")]
    pub lasts_ms: Option<u64>,
}
