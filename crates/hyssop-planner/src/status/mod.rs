//! The planner's HTTP status: health, metrics and events.

mod server;

pub(crate) use server::{Metrics, Server};
