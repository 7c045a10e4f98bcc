//! The membership epoch: the entries that share the slots and the claims of a region.

mod record;

pub use record::{Record, Retired};
