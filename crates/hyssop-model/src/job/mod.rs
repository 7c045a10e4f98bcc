//! Jobs: long work that runs on workers, outside the request path.

mod record;
mod size;
mod spec;
mod state;
mod worker;

pub use record::Record;
pub use size::Size;
pub use spec::Spec;
pub use state::State;
pub use worker::Worker;
