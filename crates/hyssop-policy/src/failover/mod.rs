//! Failure detection and selection of the process that takes over a shard without an owner.
//!
//! Every process computes the order of candidates from its own view; the compare-and-set on the
//! shard's row decides where the views differ. Only the first [`WATCHER_COUNT`] candidates watch an
//! owner, and each other, so the cost of a process does not grow with their number.

mod candidate;
mod rank;
mod series;
mod turn;
mod watch;

pub use candidate::Candidate;
pub use rank::rank;
pub use series::Series;
pub use turn::Turn;
pub use watch::{Verdict, Watch};

/// The number of candidates that watch a shard's owner. A third of all processes may be lost at
/// once; the owner and three others at random are all among them once in 81 times.
pub const WATCHER_COUNT: usize = 3;
