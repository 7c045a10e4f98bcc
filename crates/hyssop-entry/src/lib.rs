//! The entry daemon: the HTTP front end for callers, queues, routing and peer links.
//!
//! `hyssop_policy` implements the decisions; this crate connects them to sockets, threads and
//! clocks. One thread, the core, owns all state of the request path and receives messages from the
//! other threads and tasks.

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
