//! Frames exchanged between entries, encoded as CBOR.
//!
//! Field names on the wire are one letter long to keep the control traffic small.

pub mod claim;
pub mod demand;
pub mod error;
pub mod frame;
pub mod health;
pub mod notice;
pub mod slot;

pub use error::Error;
pub use frame::{Body, Frame};
