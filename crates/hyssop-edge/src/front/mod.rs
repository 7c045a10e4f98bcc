//! The callers' HTTP front, and the readiness probe.

mod handler;
mod ready;
mod server;

pub(crate) use handler::handle;
pub(crate) use ready::probe;
pub(crate) use server::{serve, Traffic};
