//! The promises, checked from outside: what was told against what was executed.

mod promises;
mod sampler;

pub(crate) use promises::Promises;
pub(crate) use sampler::{Sampler, Samples};
