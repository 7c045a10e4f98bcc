//! The planner process: startup, planning loop and shutdown.

mod error;
mod lifecycle;
mod region;

pub use error::Error;
pub use lifecycle::run;
pub use region::{Platform, Region};
