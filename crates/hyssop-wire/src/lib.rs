//! Frames between the processes of the system, in CBOR.
//!
//! Field names on the wire are one letter long, because control traffic is counted in bytes.

pub mod claim;
pub mod demand;
pub mod error;
pub mod frame;
pub mod health;
pub mod notice;
pub mod slot;

pub use error::Error;
pub use frame::{Body, Frame};
