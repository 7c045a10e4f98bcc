//! Jobs: long work on workers, beside the request path.

mod order;
mod record;
mod size;
mod state;
mod worker;

pub use order::Order;
pub use record::Record;
pub use size::Size;
pub use state::State;
pub use worker::Worker;
