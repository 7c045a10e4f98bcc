//! The planner's lease of its region.

mod holder;

pub(crate) use holder::Holder;
