//! What can go wrong between a process and the platform.

use snafu::Snafu;

/// Says what a call to the platform failed on, and whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The service did not take the call; it had no effect.
    #[snafu(display(
        "the platform is down: {reason}; the call had no effect and may be repeated"
    ))]
    Down {
        /// What the connection failed on.
        reason: String,
    },
    /// No answer came; the call may have taken effect.
    #[snafu(display("the platform's answer was lost: {reason}; read back before repeating"))]
    Lost {
        /// What the connection failed on.
        reason: String,
    },
    /// The service's rate limit refused the call; it had no effect.
    #[snafu(display("the platform refused the call over its rate limit; back off and repeat"))]
    Throttled,
    /// A condition of the transaction did not hold; it had no effect.
    #[snafu(display("row {key} is not at the expected version; read it again"))]
    Conflict {
        /// The first row whose condition failed.
        key: String,
    },
    /// The service's answer can't be read.
    #[snafu(display(
        "the platform's answer can't be read: {reason}; check the platform's version"
    ))]
    Malformed {
        /// What the parser said.
        reason: String,
    },
}

impl Error {
    /// Tells whether the same call may be repeated without reading back.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::Down { .. } | Self::Throttled)
    }
}
