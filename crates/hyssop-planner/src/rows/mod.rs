//! The rows that the planner reads from and writes to the table service.

mod commit;
mod snapshot;

pub(crate) use commit::{transaction, write_id};
pub(crate) use snapshot::Snapshot;
