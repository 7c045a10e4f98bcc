//! Entries: the processes that callers connect to.

mod id;
mod member;
mod record;

pub use id::Id;
pub use member::Member;
pub use record::{Phase, Record};
