//! Which entries divide a region's slots: leases, and the epoch that follows from them.

mod change;
mod lease;

pub use change::{next_epoch, Observed};
pub use lease::Lease;
