//! When a proposed configuration is accepted.

mod accept;

pub use accept::{accept, Laggard, Verdict};
