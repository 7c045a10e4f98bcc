//! What a caller is told of its request.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Is the value of the `Hyssop-Outcome` header.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer of this request follows.
    Answered,
    /// Nothing of the request was ever sent to a backend server.
    NotRun,
    /// The request was sent, and whether it ran can't be told.
    Unknown,
    /// A request with the same key is running.
    InProgress,
    /// A request with the same key ran; its first answer follows again.
    Repeated,
    /// The request is malformed; it did not run.
    Refused,
}
