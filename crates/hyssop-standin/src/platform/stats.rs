use serde::{Deserialize, Serialize};

/// Counts what the platform served.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Rows read.
    pub row_reads: u64,
    /// Rows written.
    pub row_writes: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Transactions in conflict.
    pub conflicts: u64,
    /// Calls refused over the rate limits.
    pub throttled: u64,
    /// Calls refused while down.
    pub refused: u64,
    /// Commits whose answer was lost.
    pub lost: u64,
}
