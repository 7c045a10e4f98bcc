//! The HTTP front for callers, the readiness probe and the metrics.

mod discard;
mod gate;
mod handler;
mod ready;
mod server;

pub(crate) use gate::Gate;
pub(crate) use handler::handle;
pub(crate) use ready::probe;
pub(crate) use server::{serve, serve_probes, Traffic};
