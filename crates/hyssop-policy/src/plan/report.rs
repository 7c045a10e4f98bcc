use hyssop_model::prelude::*;
use hyssop_wire::demand;
use serde::{Deserialize, Serialize};

/// A report of an entry to the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The highest revision of the instance rows that the entry uses.
    pub revision: u64,
    /// The demand by pool.
    pub demand: Option<demand::Report>,
    /// The number of the entry's requests in flight, by instance.
    pub in_flight: BTreeMap<String, u32>,
    /// The instances to which the entry sends no requests because they fail.
    pub ejected: BTreeSet<String>,
}
