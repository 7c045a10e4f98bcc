//! The planner daemon: pools, budgets, maintenance, configuration roll-out and job placement.
//!
//! A planner runs on every entry instance and acts only while it holds its region's lease. Every
//! write requires the lease's row to be unchanged, so a planner that was paused until its lease
//! passed to another one can't write.

pub mod daemon;
mod jobs;
mod lease;
pub mod reports;
mod rows;
pub mod status;
