//! Messages about claims on the keys of requests, between an entry and the home of a key.
//!
//! A claim permits one entry to send a keyed request once.

mod answer;
mod ask;
mod handover;
mod reply;
mod settle;

pub use answer::Answer;
pub use ask::Ask;
pub use handover::{Accepted, Handover, Held, State};
pub use reply::{Reply, Verdict};
pub use settle::{End, Settle, Settled};
