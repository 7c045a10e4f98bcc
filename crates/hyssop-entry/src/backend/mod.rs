//! Requests to backend servers over pooled HTTP/1.1 connections.

mod answer;
mod connection;
mod pool;
mod prober;

pub(crate) use answer::Answer;
pub(crate) use pool::{Pool, Reply, Request};
pub(crate) use prober::probe_forever;
