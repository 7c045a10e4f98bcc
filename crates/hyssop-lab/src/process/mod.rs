//! Child processes, ended by their number.

mod child;
mod usage;

pub(crate) use child::{Child, Spec};
pub(crate) use usage::Usage;
