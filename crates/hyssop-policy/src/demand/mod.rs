//! Demand over all entries, and what each flow and entry is due of a pool.

mod allowance;
mod board;
mod plan;

pub use allowance::Allowance;
pub use board::Board;
pub use plan::{Plan, Queue};
