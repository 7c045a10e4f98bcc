use crate::health::Sample;
use std::time::Duration;
use strum::{Display, EnumIter, IntoStaticStr};

/// Says how an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The whole answer came; its status is a server error or not.
    Answered {
        /// Whether the status is a server error.
        is_error: bool,
    },
    /// The connection was refused, or could not be made in time: nothing was sent.
    NotConnected,
    /// The connection closed before the first byte of the request was written.
    NotSent,
    /// The instance answered that it had no free slot and did not start the request.
    Busy,
    /// The connection broke after bytes were sent and before an answer came.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// The answer broke off, or was too large.
    Truncated,
    /// The answer was another request's.
    Mismatched,
}

impl End {
    /// Tells whether the attempt proves that nothing reached the backend server's program.
    pub fn is_proof_of_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotSent | Self::Busy)
    }

    /// Tells whether the instance may still be working on the request, so that its slot must rest.
    pub fn may_linger(self) -> bool {
        matches!(
            self,
            Self::TimedOut | Self::Broken | Self::Truncated | Self::Mismatched | Self::Busy
        )
    }

    /// Returns what the attempt shows of the instance, if anything.
    pub fn sample(self, took: Duration) -> Option<Sample> {
        match self {
            Self::Answered { is_error: false } => Some(Sample::Answered(took)),
            Self::Answered { is_error: true } => Some(Sample::Failed),
            Self::NotConnected => Some(Sample::Refused),
            Self::Broken | Self::Truncated | Self::Mismatched => Some(Sample::Broken),
            Self::TimedOut => Some(Sample::TimedOut),
            Self::NotSent | Self::Busy => None,
        }
    }
}
