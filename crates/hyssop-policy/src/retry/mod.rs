//! Budgets that keep retries from multiplying the load.

mod budget;

pub use budget::Budget;
