//! Messages about claims on the keys of requests, between an entry and the home of a key.
//!
//! A claim permits one entry to send a keyed request once.

mod answer;
mod handover;
mod reply;
mod request;
mod settlement;

pub use answer::Answer;
pub use handover::{Handover, HandoverAck, Record, State};
pub use reply::{Reply, Verdict};
pub use request::Request;
pub use settlement::{End, Settlement, SettlementAck};
