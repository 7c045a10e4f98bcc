//! The callers' HTTP client: pooled connections by target.

mod pool;

pub(crate) use pool::{Call, Pool, Reply};
