//! In-memory implementations of the platform's services, with fault injection.

mod fault;
mod store;

pub use fault::Fault;
pub use store::Store;
