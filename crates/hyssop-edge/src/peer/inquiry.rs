use crate::node::{Endpoint, Ownership};
use serde::{Deserialize, Serialize};

/// A question or a notice about the ownership of shards, which any process handles.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Inquiry {
    /// Returns the shard's owner as far as the asked process knows it.
    Locate {
        /// The shard.
        part: String,
    },
    /// Reports the shard's newest owner to one that may not know that its term has ended.
    Superseded {
        /// The shard.
        part: String,
        ownership: Ownership,
    },
    /// Reports that the shard's owner of this term can't be reached, or can't reach the store.
    Suspect {
        /// The shard.
        part: String,
        term: u64,
    },
    /// Asks a member whether it may have taken over any of the shards that the asking process owns
    /// in these terms.
    Confirm {
        /// The process that the question is for.
        process: String,
        terms: Vec<(String, u64)>,
    },
    /// Returns whether the asked process reaches another one.
    Probe(Endpoint),
}
