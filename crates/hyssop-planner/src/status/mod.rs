//! The planner's HTTP status server: health, metrics and events.

mod server;

pub use server::Metrics;

pub(crate) use server::Server;
