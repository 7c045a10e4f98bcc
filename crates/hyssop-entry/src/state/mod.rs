//! State shared by all threads of the entry: its readiness and its view of the control plane.

mod shared;

pub(crate) use shared::{ConfigText, Readiness, State};
