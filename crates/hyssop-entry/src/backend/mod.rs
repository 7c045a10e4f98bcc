//! Requests to backend servers over pooled HTTP/1.1 connections.

mod buffered;
mod connection;
mod pool;
mod prober;

pub(crate) use buffered::BufferedResponse;
pub(crate) use pool::{AttemptResult, Pool, Request};
pub(crate) use prober::run_probes;
