//! What all threads of the entry share: its readiness and what it knows of the control plane.

mod shared;

pub(crate) use shared::{Held, Readiness, State};
