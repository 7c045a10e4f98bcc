//! Measurements of single requests.

mod entry;
mod outcome;

pub use entry::Record;
pub use outcome::Outcome;
