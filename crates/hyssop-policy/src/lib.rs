//! Decision logic, one module per subject, without I/O, threads, clocks or randomness.
//!
//! Each module is a state machine that receives the time with every call, so that tests, benchmarks
//! and daemons can drive it, with many nodes in one thread.

pub mod account;
pub mod admission;
pub mod assign;
pub mod attempt;
pub mod claim;
pub mod demand;
pub mod directory;
pub mod dispatch;
pub mod failover;
pub mod fleet;
pub mod health;
pub mod intake;
pub mod job;
pub mod membership;
pub mod owner;
pub mod plan;
pub mod retry;
pub mod rollout;
pub mod share;
pub mod slot;
