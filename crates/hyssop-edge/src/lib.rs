//! The edge daemon: one process on each edge instance.
//!
//! It takes callers' jobs, owns pools by turns with its peers, and holds the fleet's instances by
//! a lease. Everything runs on one thread, since an edge instance has a quarter of a core.

pub mod daemon;
mod fleet;
mod front;
mod http;
mod metric;
mod node;
mod ownership;
mod peer;
mod pool;
mod store;
