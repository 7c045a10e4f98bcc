//! Claims of keyed requests at the home of the key.

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
