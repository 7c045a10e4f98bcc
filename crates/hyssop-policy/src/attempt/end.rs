use crate::health::Sample;
use std::time::Duration;
use strum::{Display, EnumIter, IntoStaticStr};

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The whole answer was received.
    Answered {
        /// Whether the status is a server error.
        is_error: bool,
    },
    /// The connection was refused or timed out before anything was sent.
    NotConnected,
    /// The connection closed before the first byte of the request was written.
    NotSent,
    /// The instance answered that it had no free slot and didn't start the request.
    Busy,
    /// The connection broke after bytes were sent and before an answer was received.
    Broken,
    /// No answer was received before the timeout.
    TimedOut,
    /// The answer was incomplete or too large.
    Truncated,
    /// The answer belonged to another request.
    Mismatched,
}

impl End {
    /// Returns whether the request certainly didn't reach the backend server's program.
    pub fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotSent | Self::Busy)
    }

    /// Returns whether the instance may still process the request, so that its slot must not be
    /// reused yet.
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            Self::TimedOut | Self::Broken | Self::Truncated | Self::Mismatched | Self::Busy
        )
    }

    /// Returns the attempt as a health sample of the instance, if it is one.
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
