//! The HTTP client, which pools connections in lanes so that long polls do not block other calls.

mod client;
mod connection;
mod destination;
mod failure;
mod lane;

pub(crate) use client::Client;
pub(crate) use failure::Failure;
pub(crate) use lane::Lane;
