//! State shared by all tasks of the process.

mod clock;
mod context;
mod notice;
mod owner;
mod reach;

pub(crate) use clock::Clock;
pub(crate) use context::{Node, Tuning, FLEET};
pub(crate) use notice::Notice;
pub(crate) use owner::{Member, Ownership};
pub(crate) use reach::Reach;
