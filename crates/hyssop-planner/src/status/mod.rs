//! The planner's HTTP status server: health, metrics and events.

mod listener;
mod server;

pub use server::Metrics;

pub(crate) use listener::Listener;
pub(crate) use server::Server;
