//! Summaries of many requests.

mod figures;

pub use figures::Summary;
