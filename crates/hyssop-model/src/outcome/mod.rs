//! The outcome of a request as reported to its caller.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The value of the `Hyssop-Outcome` header.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The complete response to this request follows.
    Answered,
    /// No part of the request was sent to a backend server.
    NotRun,
    /// The request was sent, but whether it ran is unknown.
    Unknown,
    /// A request with the same key is running.
    InProgress,
    /// A request with the same key already ran; its original response follows.
    Repeated,
    /// The request is malformed; it did not run.
    Refused,
}
