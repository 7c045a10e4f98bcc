//! Why a frame is refused.

use snafu::Snafu;

/// Says why bytes are not a frame.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The bytes are not CBOR of a frame.
    #[snafu(display("frame of {length} bytes can't be decoded: {reason}; the link is closed"))]
    Malformed {
        /// The number of bytes.
        length: usize,
        /// What the decoder said.
        reason: String,
    },
    /// The peer speaks another version of the protocol.
    #[snafu(display("frame has protocol version {found}, this process speaks {expected}; replace the older process"))]
    Version {
        /// The version of the frame.
        found: u16,
        /// The version of this process.
        expected: u16,
    },
}
