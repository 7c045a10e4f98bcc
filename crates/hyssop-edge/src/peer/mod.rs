//! Links between edge processes: operations on shards, heartbeats and configuration versions.

mod frame;
mod inquiry;
mod link;
mod listener;
mod reach;
mod registry;
mod socket;

pub(crate) use frame::{Answer, Body, Frame, Operation, Status};
pub(crate) use inquiry::Inquiry;
pub(crate) use link::Link;
pub(crate) use listener::listen;
pub(crate) use reach::{reach, request_from};
pub(crate) use registry::Links;
pub(crate) use socket::MAX_IDLE;
