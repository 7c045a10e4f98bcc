use serde::{Deserialize, Serialize};

/// The demand of one queue at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// The queue's name.
    #[serde(rename = "q")]
    pub queue: String,
    /// The number of waiting requests of each class, most urgent class first.
    #[serde(rename = "w")]
    pub waiting: [u32; 3],
    /// The number of requests in progress.
    #[serde(rename = "f")]
    pub in_flight: u32,
}

/// The demand of one pool at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    #[serde(rename = "p")]
    pub pool: String,
    /// The number of slots that the sender can use: those that it is the home of, without the
    /// slots on loan to peers, plus the borrowed ones.
    #[serde(rename = "u")]
    pub usable: u32,
    /// How long the oldest request has waited, in milliseconds.
    #[serde(rename = "o")]
    pub oldest_ms: u32,
    /// The queues with demand.
    #[serde(rename = "f")]
    pub flows: Vec<Flow>,
}

/// The demand of the pools that changed since the last report; a pool without flows has none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The changed pools.
    #[serde(rename = "p")]
    pub pools: Vec<Pool>,
}
