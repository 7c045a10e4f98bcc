//! The callers' HTTP/1.1 front.

mod call;
mod claim;
mod control;
mod jobs;
mod reject;
mod response;
mod server;
mod service;
mod task;

pub(crate) use reject::Reject;
pub(crate) use response::{json, text, Reply};
pub(crate) use server::{serve, Front};
