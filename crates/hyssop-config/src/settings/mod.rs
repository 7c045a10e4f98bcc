//! Settings of each kind of process.

mod entry;
mod limits;
mod machines;
mod planner;
mod process;
mod strategy;

pub use entry::Entry;
pub use limits::Limits;
pub use machines::Machines;
pub use planner::Planner;
pub use process::Process;
pub use strategy::{Admission, Allocation};
