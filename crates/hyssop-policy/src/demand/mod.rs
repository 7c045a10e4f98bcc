//! Demand of all entries, and the division of a pool's slots by it.

mod bucket;
mod plan;
mod reports;

pub use bucket::Bucket;
pub use plan::{Plan, Queue};
pub use reports::Reports;
