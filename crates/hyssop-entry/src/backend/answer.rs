use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// Is the whole answer of a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}
