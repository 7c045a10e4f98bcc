//! Jobs: the scheduler bound to rows and workers.

mod controller;

pub(crate) use controller::Controller;
