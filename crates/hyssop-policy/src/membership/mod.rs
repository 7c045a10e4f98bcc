//! Which entries divide a region's slots: leases, and the epoch that follows from them.

mod change;
mod lease;

pub use change::{next_epoch, Observed};
pub use lease::Lease;

/// The bound between any two wall clocks by which a lease counts as over, in milliseconds.
pub const CLOCK_BOUND_MS: u64 = 500;
