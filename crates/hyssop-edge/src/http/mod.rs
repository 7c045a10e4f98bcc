//! The one HTTP client: kept connections in lanes, so that a waiting call holds up no other.

mod client;
mod failure;
mod lane;

pub(crate) use client::Client;
pub(crate) use failure::Failure;
pub(crate) use lane::Lane;
