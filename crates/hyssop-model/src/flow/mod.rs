//! Flows: the queues among which a pool's slots are shared fairly.

crate::arena_key!(
    /// The key of a pool's queue, valid within one process.
    Key
);
