//! Membership of the entries that share a region's slots: leases, and the epochs derived from them.

mod epoch;
mod lease;

pub use epoch::{next_epoch, View};
pub use lease::Lease;

/// The maximum difference between two wall clocks, in milliseconds.
///
/// Another process treats a lease as expired only when this time has passed after its end.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;
