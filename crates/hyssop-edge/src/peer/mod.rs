//! Links between edge processes: questions to owners, heartbeats, versions.

mod frame;
mod link;
mod listener;

pub(crate) use frame::{Answer, Ask, Body, Frame, Standing};
pub(crate) use link::{keep_links, Link};
pub(crate) use listener::listen;
