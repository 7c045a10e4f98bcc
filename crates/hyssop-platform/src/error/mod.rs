//! Errors of calls to the platform.

use snafu::Snafu;

/// The failure of a call to the platform, which determines whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The service did not accept the call, which had no effect.
    #[snafu(display("the platform is down: {reason}; the call had no effect and may be retried"))]
    Down {
        /// The cause of the connection failure.
        reason: String,
    },
    /// No response arrived; the call may have taken effect.
    #[snafu(display("the platform's response was lost: {reason}; read back before retrying"))]
    Lost {
        /// The cause of the connection failure.
        reason: String,
    },
    /// The service rejected the call because of its rate limit; the call had no effect.
    #[snafu(display(
        "the platform rejected the call because of its rate limit; back off and retry"
    ))]
    Throttled,
    /// A condition of the transaction did not hold; the transaction had no effect.
    #[snafu(display("row {key} is not at the expected version; read it again"))]
    Conflict {
        /// The first row whose condition failed.
        key: String,
    },
    /// The service's response can't be parsed.
    #[snafu(display(
        "the platform's response can't be parsed: {reason}; check the platform's version"
    ))]
    Malformed {
        /// The parser's message.
        reason: String,
    },
}

impl Error {
    /// Returns whether the call may be retried without reading back.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::Down { .. } | Self::Throttled)
    }
}
