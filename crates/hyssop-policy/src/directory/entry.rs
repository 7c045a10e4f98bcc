use hyssop_model::work::Address;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The addresses at which a pool has accepted jobs of a queue, as its owner stores them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The queue's name at the time of acceptance.
    pub queue: String,
    /// The addresses.
    pub addresses: BTreeSet<Address>,
}
