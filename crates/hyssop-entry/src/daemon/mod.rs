//! Start-up, operation and graceful shutdown of the entry.

mod error;
mod lifecycle;

pub use error::Error;
pub use lifecycle::{run, serve};
