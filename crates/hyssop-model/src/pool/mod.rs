//! Pools of instances.

mod record;

pub use record::{Record, Ticket};

crate::arena_key!(
    /// Names a pool within one process.
    Key
);
