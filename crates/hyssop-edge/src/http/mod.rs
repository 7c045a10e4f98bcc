//! The HTTP client, which pools connections in lanes so that long polls do not block other calls.

mod client;
mod destination;
mod failure;
mod lane;

pub(crate) use client::Client;
pub(crate) use failure::Failure;
pub(crate) use lane::Lane;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

/// The sending half of a connection.
type Sender = SendRequest<Full<Bytes>>;
