//! The start, the main loop and the stop of the process.

mod addresses;
mod configuration;
mod error;
mod lifecycle;

pub use error::Error;
pub use lifecycle::run;
