//! Entries: the processes that callers reach.

mod id;
mod member;
mod record;

pub use id::Id;
pub use member::Member;
pub use record::{Phase, Record};
