//! Links to peer entries: WebSocket connections that carry CBOR frames.

mod dialer;
mod links;
mod listener;
mod opening;

pub(crate) use links::Links;
pub(crate) use listener::listen;
