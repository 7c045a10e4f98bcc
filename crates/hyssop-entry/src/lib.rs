//! The entry daemon: the callers' HTTP front, queues, routing and peer links.
//!
//! The decisions are those of `hyssop_policy`; this crate binds them to sockets, threads and
//! clocks. One thread, the core, owns all state of the request path; everything else sends it
//! messages.

mod backend;
mod core;
pub mod daemon;
mod front;
mod jobs;
mod metric;
mod operator;
mod peer;
mod state;
mod store;
