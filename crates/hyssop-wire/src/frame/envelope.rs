use super::Body;
use crate::error::{Error, MalformedSnafu, VersionSnafu};
use serde::{Deserialize, Serialize};

/// The version of the protocol.
pub const VERSION: u16 = 1;

/// Is one message between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The version of the protocol.
    #[serde(rename = "v")]
    pub version: u16,
    /// The sender's hybrid logical clock, in microseconds.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// The message.
    #[serde(rename = "b")]
    pub body: Body,
}

impl Frame {
    /// Wraps `body`.
    pub fn new(stamp: u64, body: Body) -> Self {
        Self {
            version: VERSION,
            stamp,
            body,
        }
    }

    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Panics when the frame has no CBOR form, which the types of this crate always have.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a frame has a CBOR form");
        bytes
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a frame or the frame is of another protocol version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let frame: Self = ciborium::from_reader(bytes).map_err(|error| {
            MalformedSnafu {
                length: bytes.len(),
                reason: error.to_string(),
            }
            .build()
        })?;
        if frame.version != VERSION {
            return VersionSnafu {
                found: frame.version,
                expected: VERSION,
            }
            .fail();
        }
        Ok(frame)
    }
}
