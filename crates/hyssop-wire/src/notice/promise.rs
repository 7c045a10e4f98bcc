use serde::{Deserialize, Serialize};

/// A promise not to become active in an epoch newer than `epoch`, or a request for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The epoch.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// The ID of the request, repeated in the promise that answers it.
    #[serde(rename = "i")]
    pub id: u64,
    /// How long the promise is valid from its sending, in milliseconds; `None` in a request.
    #[serde(rename = "t")]
    pub duration_ms: Option<u64>,
}
