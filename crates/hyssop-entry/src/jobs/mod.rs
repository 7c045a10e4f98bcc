//! Callers' calls for jobs: submitted durably in batches, read and withdrawn by row.

mod batch;
mod calls;
mod submission;

pub(crate) use batch::Submitter;
pub(crate) use calls::Calls;
pub(crate) use submission::Submission;
