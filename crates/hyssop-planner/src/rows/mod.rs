//! The rows that the planner reads and writes.

mod commit;
mod snapshot;

pub(crate) use commit::{transaction, write_id};
pub(crate) use snapshot::Snapshot;
