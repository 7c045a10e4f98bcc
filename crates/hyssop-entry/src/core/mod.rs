//! The core: the thread that owns all state of the request path.

mod host;
mod message;
mod thread;

pub(crate) use message::{Config, Decision, Inbox, Message, Snapshot};
pub(crate) use thread::{spawn, Parts};
