//! Jobs: long work that runs on workers, outside the request path.

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
