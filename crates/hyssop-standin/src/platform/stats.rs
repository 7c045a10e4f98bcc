use serde::{Deserialize, Serialize};

/// Counters of the calls that the platform stand-in served.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Rows read.
    pub row_reads: u64,
    /// Rows written.
    pub row_writes: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Transactions rejected because of a conflict.
    pub conflicts: u64,
    /// Calls rejected because a rate limit was exceeded.
    pub throttled: u64,
    /// Calls rejected by the fault `down`.
    pub refused: u64,
    /// Commits and task starts whose response the fault `lose` dropped.
    pub lost: u64,
}
