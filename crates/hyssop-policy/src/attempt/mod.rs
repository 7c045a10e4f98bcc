//! What became of one attempt to send a request, and what follows from it.

mod end;
mod verdict;

pub use end::End;
pub use verdict::Verdict;
