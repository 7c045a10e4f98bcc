//! Retry budgets, which keep retries from multiplying the load.

mod budget;

pub use budget::Budget;
