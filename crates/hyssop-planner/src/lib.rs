//! The planner daemon: pools, budgets, maintenance, roll-out and job placement.
//!
//! A planner runs on every entry instance and acts only while it holds its region's lease. Each
//! of its writes is conditional on the lease's row, so a planner that was paused writes nothing.

pub mod daemon;
mod jobs;
mod lease;
pub mod reports;
mod rows;
pub mod status;
