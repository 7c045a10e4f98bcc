//! Pools of instances.

mod record;

pub use record::{Record, Ticket};

crate::arena_key!(
    /// The key of a pool, valid within one process.
    Key
);
