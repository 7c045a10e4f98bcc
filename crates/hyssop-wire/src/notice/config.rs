use serde::{Deserialize, Serialize};

/// Tells which configuration the sender holds and which it has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The highest version that the sender holds, accepted or only proposed.
    #[serde(rename = "h")]
    pub held: u64,
    /// The version in force.
    #[serde(rename = "a")]
    pub accepted: u64,
    /// The text of the accepted version, when the receiver may lack it.
    #[serde(rename = "b")]
    pub body: Option<String>,
}
