//! Links between edge processes: operations on shards, heartbeats and configuration versions.

mod frame;
mod link;
mod listener;

pub(crate) use frame::{Answer, Body, Frame, Operation, Status};
pub(crate) use link::{keep_links, Link};
pub(crate) use listener::listen;
