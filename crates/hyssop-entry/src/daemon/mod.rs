//! The entry's life: start, serve, stop.

mod error;
mod life;

pub use error::Error;
pub use life::{run, serve};
