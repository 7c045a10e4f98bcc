use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Is what the caller was told.
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
pub enum Told {
    /// The whole answer.
    Answered,
    /// That it did not run.
    NotRun,
    /// That it may have run.
    Unknown,
    /// That the same key is running.
    InProgress,
    /// The first answer of its key.
    Repeated,
    /// That it is malformed.
    Refused,
    /// Nothing: the connection broke or the caller gave up waiting.
    Nothing,
    /// Nothing, because no connection could be made: it reached nobody.
    NoConnection,
    /// An answer of another request, or a damaged one.
    Wrong,
}
