//! The membership epoch: which entries divide the slots and the claims of a region.

mod record;

pub use record::{Record, Retired};
