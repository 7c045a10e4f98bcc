//! The result of one attempt to send a request, and the resulting decision on a retry.

mod end;
mod verdict;

pub use end::End;
pub use verdict::Verdict;
