//! Jobs of callers: submission in batched transactions, queries and cancellation.

mod batch;
mod store;
mod submission;

pub(crate) use batch::Submitter;
pub(crate) use store::JobStore;
pub(crate) use submission::Submission;
