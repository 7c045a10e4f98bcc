//! Reports of the instances' health, exchanged between entries.

mod report;

pub use report::Report;
