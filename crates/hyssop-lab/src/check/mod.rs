//! The promises, checked from outside: what was told against what was executed.

mod promises;

pub(crate) use promises::Promises;
