//! The core: one thread that owns the state of the request path.

mod host;
mod message;
mod thread;

pub(crate) use message::{Decision, Fleet, Inbox, Message, Snapshot};
pub(crate) use thread::{spawn, Parts};
