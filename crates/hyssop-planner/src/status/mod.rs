//! The planner's HTTP status: health, metrics and events.

mod server;

pub use server::Metrics;

pub(crate) use server::Server;
