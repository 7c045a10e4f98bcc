//! Rollout of configurations: acceptance of a proposed version.

mod accept;

pub use accept::{accept, Laggard, Verdict};
