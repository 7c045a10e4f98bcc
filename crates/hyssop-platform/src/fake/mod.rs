//! In-memory services of the platform, with the faults that the real ones have.

mod fault;
mod store;

pub use fault::Fault;
pub use store::Store;
