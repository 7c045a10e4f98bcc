//! The callers' HTTP client, with a connection pool per target.

mod pool;

pub(crate) use pool::{Call, Pool, Reply};
