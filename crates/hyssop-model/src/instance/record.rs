use super::{Cause, Key, State};
use serde::{Deserialize, Serialize};

/// Is an instance's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The platform's number.
    pub key: Key,
    /// The platform's name.
    pub name: String,
    /// Where its backend server listens, `IP:PORT`.
    pub address: String,
    /// The rack, a failure domain.
    pub rack: String,
    /// The data centre, a failure domain of many racks.
    pub data_centre: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// The one pool that it belongs to.
    pub pool: String,
    /// What it may be used for.
    pub state: State,
    /// The pool it goes to once its drain is complete.
    pub moving_to: Option<String>,
    /// Why it does not serve, unless it serves.
    pub cause: Option<Cause>,
    /// When its last maintenance ended, in milliseconds of the wall clock; 0 for never.
    pub maintained_ms: u64,
    /// The platform's count of its boots when it last left service.
    pub boots: u64,
    /// The revision of the region's head at which the row last changed.
    pub revision: u64,
}
