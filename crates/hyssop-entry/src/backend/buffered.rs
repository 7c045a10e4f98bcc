use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

/// A complete response of a backend server, buffered in memory.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}
