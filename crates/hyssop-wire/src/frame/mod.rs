//! The envelope of every frame.

mod body;
mod envelope;

pub use body::Body;
pub use envelope::{Frame, VERSION};
