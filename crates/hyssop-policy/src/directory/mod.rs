//! The pools that may have jobs which were submitted to an address.
//!
//! The configuration tells where the next jobs of an address go. The jobs that were accepted before a
//! change stay in their pool, whose rows tell the addresses of its jobs.

mod entry;
mod registry;

pub use entry::Entry;
pub use registry::Directory;
