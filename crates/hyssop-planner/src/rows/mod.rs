//! The rows that the planner reads and writes.

mod commit;
mod snapshot;

pub(crate) use commit::transaction;
pub(crate) use snapshot::Snapshot;
