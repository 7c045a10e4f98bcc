use serde::{Deserialize, Serialize};

/// Is the demand of one queue at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// The queue's name.
    #[serde(rename = "q")]
    pub queue: String,
    /// The number of waiting requests by class, urgent first.
    #[serde(rename = "w")]
    pub waiting: [u32; 3],
    /// The number of requests in progress.
    #[serde(rename = "f")]
    pub in_flight: u32,
}

/// Is the demand of one pool at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    #[serde(rename = "p")]
    pub pool: String,
    /// The number of slots the sender can use: its homes less the lent ones, and borrowed ones.
    #[serde(rename = "u")]
    pub usable: u32,
    /// How long the oldest request has waited, in milliseconds.
    #[serde(rename = "o")]
    pub oldest_ms: u32,
    /// The queues with any demand.
    #[serde(rename = "f")]
    pub flows: Vec<Flow>,
}

/// Carries the demand of the pools that changed; a pool without flows has none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The pools.
    #[serde(rename = "p")]
    pub pools: Vec<Pool>,
}
