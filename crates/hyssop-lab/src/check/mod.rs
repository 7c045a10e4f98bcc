//! Checks of the system's guarantees from outside: compares what callers were told with what was
//! executed.

mod guarantees;
mod sampler;

pub(crate) use guarantees::Violations;
pub(crate) use sampler::{Sampler, Samples};
