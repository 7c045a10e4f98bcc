//! Rollout of configurations: acceptance of a proposed version.

mod accept;

pub use accept::{accept, LaggingEntry, Verdict};
