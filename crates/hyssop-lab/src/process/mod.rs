//! Child processes and their resource usage.
//!
//! Processes are signalled only by the process ID with which they were started.

mod child;
mod usage;

pub(crate) use child::{Child, Spec};
pub(crate) use usage::Usage;
