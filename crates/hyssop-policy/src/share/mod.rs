//! Weighted max-min shares.

mod max_min;

pub use max_min::max_min;

/// Is one party of a division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// How much the party can use.
    pub demand: f64,
    /// Its share relative to the others.
    pub weight: f64,
}
