//! Demand of an entry by pool and queue.

mod report;

pub use report::{Flow, Pool, Report};
