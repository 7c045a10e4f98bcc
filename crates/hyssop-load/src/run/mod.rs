//! Runs streams against a balancer.

mod caller;
mod schedule;

pub use schedule::run;
