use super::Body;
use crate::error::{Error, MalformedSnafu, VersionSnafu};
use serde::{Deserialize, Serialize};

/// The version of the peer protocol.
pub const VERSION: u16 = 1;

/// A message between two processes, with the protocol version and the sender's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The protocol version.
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
    /// Creates a frame of the current protocol version.
    pub fn new(stamp: u64, body: Body) -> Self {
        Self {
            version: VERSION,
            stamp,
            body,
        }
    }

    /// Encodes the frame as CBOR.
    ///
    /// # Panics
    ///
    /// Panics if the frame can't be encoded, which can't happen with the types of this crate.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("a frame can be encoded as CBOR");
        bytes
    }

    /// Decodes a frame from CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes aren't a frame or the frame has another protocol version.
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
