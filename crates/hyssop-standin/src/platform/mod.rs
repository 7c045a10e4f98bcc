//! A stand-in for the platform's services over HTTP, with rate limits and injected faults.

mod fault;
mod limit;
mod process;
mod roster;
mod service;
mod stats;
mod workers;

pub use process::{listen, run, Options, Platform};
pub use stats::Stats;

pub(crate) use fault::{Fault, Faults};
pub(crate) use limit::RateLimiter;
pub(crate) use roster::History;
pub(crate) use service::Service;
pub(crate) use workers::Workers;
