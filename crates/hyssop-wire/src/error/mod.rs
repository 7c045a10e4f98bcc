//! Errors of frame decoding.

use snafu::Snafu;

/// An error that makes a received frame unusable.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The bytes aren't a CBOR-encoded frame.
    #[snafu(display("failed to decode a frame of {length} bytes: {reason}; closing the link"))]
    Malformed {
        /// The size of the frame, in bytes.
        length: usize,
        /// The decoder's error message.
        reason: String,
    },
    /// The peer uses another protocol version.
    #[snafu(display("the peer uses protocol version {found}, this process {expected}; upgrade the older process"))]
    Version {
        /// The frame's protocol version.
        found: u16,
        /// This process's protocol version.
        expected: u16,
    },
}
