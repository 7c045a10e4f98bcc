//! Open-loop load and its measurement.
//!
//! Requests start at times drawn beforehand, whatever became of earlier ones, and latency counts
//! from the drawn time. So a slow system does not slow the load down and hide its own delay
//! (coordinated omission).

pub mod balancer;
mod client;
pub mod record;
pub mod run;
pub mod stream;
pub mod summary;

pub use balancer::Balancer;
pub use record::{Record, Told};
pub use run::run;
pub use stream::{Shape, Stream};
pub use summary::Summary;
