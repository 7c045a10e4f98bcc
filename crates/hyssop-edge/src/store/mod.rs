//! A client of the platform's store: reads, change feeds, and transactions that are retried until
//! their outcome is certain.

mod client;
mod committer;
mod feed;
mod row;

pub(crate) use client::Store;
pub(crate) use committer::{Committer, Head, Outcome};
pub(crate) use feed::{follow, Scope, Update};
pub(crate) use row::decode_row;
