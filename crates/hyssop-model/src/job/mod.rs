//! Jobs: long work on workers, beside the request path.

mod record;
mod size;
mod state;
mod worker;

pub use record::Record;
pub use size::Size;
pub use state::State;
pub use worker::Worker;
