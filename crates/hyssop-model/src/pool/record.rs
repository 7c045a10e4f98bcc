use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The permission for one planned disruption of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Why the instance is disrupted, such as `maintenance` or `operator-drain`.
    pub reason: String,
    /// When the ticket was granted, in milliseconds of the wall clock.
    pub granted_ms: u64,
}

/// A pool's row in the table service: the disruption tickets in use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The tickets by instance name.
    pub tickets: BTreeMap<String, Ticket>,
}
