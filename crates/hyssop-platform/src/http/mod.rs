//! A client of the platform's services over HTTP and JSON.

mod client;
mod message;

pub use client::Client;
pub use message::{Commit, Keys, Prefix, Rows};
