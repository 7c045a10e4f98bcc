//! The HTTP front for callers, the readiness probe and the metrics.

mod denials;
mod discard;
mod handler;
mod keyring;
mod ready;
mod server;
mod trust;

pub(crate) use denials::Denials;
pub(crate) use handler::handle;
pub(crate) use keyring::Keyring;
pub(crate) use ready::probe;
pub(crate) use server::{serve, serve_probes, Traffic};
pub(crate) use trust::watch_trust;
