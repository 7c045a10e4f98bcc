//! Starts and stops the process.

mod configuration;
mod error;
mod life;

pub use error::Error;
pub use life::run;
