//! The holder of the fleet's instances at work.

mod holder;

pub(crate) use holder::Holder;
