use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The outcome of a request as reported to its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete response.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// A request with the same key is in progress.
    InProgress,
    /// The response to an earlier request with the same key.
    Repeated,
    /// The request was rejected as malformed.
    Refused,
    /// No response, because the connection broke or the caller timed out.
    Nothing,
    /// No connection could be established, so that the request reached no process.
    NoConnection,
    /// A corrupt response, or one that belongs to another request.
    Wrong,
}
