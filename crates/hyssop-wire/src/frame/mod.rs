//! Frames and the messages that they carry.

mod body;
mod envelope;

pub use body::Body;
pub use envelope::{Frame, VERSION};
