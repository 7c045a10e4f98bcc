//! Opinions of instances, shared between entries.

mod report;

pub use report::Report;
