//! The start, the main loop and the stop of the process.

mod configuration;
mod error;
mod life;

pub use error::Error;
pub use life::run;
