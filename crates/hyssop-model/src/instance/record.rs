use super::{Cause, Key, State};
use serde::{Deserialize, Serialize};

/// An instance's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The platform's number of the instance.
    pub key: Key,
    /// The platform's name of the instance.
    pub name: String,
    /// The address of the backend server, `IP:PORT`.
    pub address: String,
    /// The rack, a failure domain.
    pub rack: String,
    /// The data centre, a failure domain of several racks.
    pub data_centre: String,
    /// The number of requests that the instance can run concurrently.
    pub slots: u32,
    /// The number of connections that the instance accepts.
    pub connections: u32,
    /// The pool that the instance belongs to.
    pub pool: String,
    /// The service state.
    pub state: State,
    /// The pool that the instance joins once it is drained.
    pub moving_to: Option<String>,
    /// Why the instance does not serve; `None` while it serves.
    pub cause: Option<Cause>,
    /// When the last maintenance ended, in milliseconds of the wall clock; 0 for never.
    pub maintained_ms: u64,
    /// The platform's boot count when the instance last left service.
    pub boots: u64,
    /// The revision of the region's head at which the row last changed.
    pub revision: u64,
}
