//! What became of each request.

mod entry;
mod told;

pub use entry::Record;
pub use told::Told;
