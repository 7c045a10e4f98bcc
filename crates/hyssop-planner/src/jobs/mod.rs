//! Job scheduling: connects the scheduler to the stored rows and the workers.

mod controller;

pub(crate) use controller::Controller;
