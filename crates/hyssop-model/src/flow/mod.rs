//! Flows: the parties between which a pool's slots are divided fairly.

crate::arena_key!(
    /// Names a queue of a pool within one process.
    Key
);
