//! Demand over all entries, and what each flow and entry is due of a pool.

mod allowance;
mod plan;
mod reports;

pub use allowance::Allowance;
pub use plan::{Plan, Queue};
pub use reports::Reports;
