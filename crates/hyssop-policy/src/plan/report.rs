use hyssop_model::prelude::*;
use hyssop_wire::demand;
use serde::{Deserialize, Serialize};

/// Is what an entry reports to the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The highest revision of an instance row that is in use at the entry.
    pub revision: u64,
    /// The demand by pool.
    pub demand: Option<demand::Report>,
    /// The instances with requests of the entry in progress, and their number.
    pub in_flight: BTreeMap<String, u32>,
    /// The instances that the entry keeps requests away from.
    pub ejected: BTreeSet<String>,
}
