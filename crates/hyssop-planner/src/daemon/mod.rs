//! The planner's life: start, steps, stop.

mod error;
mod life;
mod region;

pub use error::Error;
pub use life::run;
pub use region::{Platform, Region};
