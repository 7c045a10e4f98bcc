use serde::{Deserialize, Serialize};

/// A queue of a pool, with its share of the pool's slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name in the `Hyssop-Queue` header.
    pub name: String,
    /// The share of the pool's slots, relative to the other queues.
    pub weight: u32,
}
