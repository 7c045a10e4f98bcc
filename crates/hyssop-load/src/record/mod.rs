//! Measurements of single requests.

mod entry;
mod told;

pub use entry::Record;
pub use told::Told;
