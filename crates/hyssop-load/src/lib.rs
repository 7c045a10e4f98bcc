//! Open-loop load generation and measurement.
//!
//! Requests start at times drawn in advance, regardless of earlier responses, and latency is measured
//! from the drawn time. So a slow system can't slow down the load and thereby hide its own delay
//! (coordinated omission).

pub mod balancer;
mod client;
pub mod record;
pub mod run;
pub mod stream;
pub mod summary;

pub use balancer::Balancer;
pub use record::{Outcome, Record};
pub use run::run;
pub use stream::{Shape, Stream};
pub use summary::Summary;
