//! Weighted max-min fair shares.

mod max_min;

pub use max_min::max_min;

/// A party's demand and weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The most that the party can use.
    pub demand: f64,
    /// The party's weight relative to the others.
    pub weight: f64,
}
