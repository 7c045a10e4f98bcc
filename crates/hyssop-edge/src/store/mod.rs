//! The platform's store: transactions whose outcome is found out, reads, and followed tables.

mod client;
mod committer;
mod feed;

pub(crate) use client::Store;
pub(crate) use committer::{Committer, Head, Verdict};
pub(crate) use feed::{follow, Update};
