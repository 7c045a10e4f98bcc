//! Reports of an entry's demand, by pool and queue.

mod report;

pub use report::{Flow, Pool, Report};
