//! Sends streams of requests through a balancer.

mod caller;
mod schedule;

pub use schedule::run;
