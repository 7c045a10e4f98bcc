//! Jobs: the scheduler bound to rows and workers.

mod desk;

pub(crate) use desk::Desk;
