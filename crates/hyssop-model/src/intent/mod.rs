//! Operators' requests, stored until the planner has carried them out.

mod drain;
mod wave;

pub use drain::Drain;
pub use wave::{Phase, Scope, Wave};
