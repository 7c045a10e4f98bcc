use serde::{Deserialize, Serialize};

/// The configuration versions that the sender holds and has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The highest version that the sender holds, accepted or proposed.
    #[serde(rename = "h")]
    pub held: u64,
    /// The version in force.
    #[serde(rename = "a")]
    pub accepted: u64,
    /// The text of the accepted version, if the receiver may not have it.
    #[serde(rename = "b")]
    pub body: Option<String>,
}
