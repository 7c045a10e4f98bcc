//! The HTTP/1.1 front end for callers, operators and monitoring.

mod body;
mod call;
mod claim;
mod control;
mod jobs;
mod rejection;
mod response;
mod server;
mod service;
mod task;

pub(crate) use body::Memory;
pub(crate) use rejection::Rejection;
pub(crate) use response::{json, text, Reply};
pub(crate) use server::{serve, Frontend};
