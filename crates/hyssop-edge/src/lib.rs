//! The edge daemon: one process on each edge instance.
//!
//! It accepts callers' jobs, shares the ownership of the pools with its peers, and manages the
//! fleet's instances while it owns the fleet shard. Everything runs on a single thread, since an
//! edge instance has a quarter of a core.

pub mod daemon;
mod fleet;
mod front;
mod http;
mod intake;
mod metric;
mod node;
mod ownership;
mod peer;
mod pool;
mod store;
