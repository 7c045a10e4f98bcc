//! What operators ask for, until the planner has done it.

mod drain;
mod wave;

pub use drain::Drain;
pub use wave::{Phase, Scope, Wave};
