use super::Resources;
use serde::{Deserialize, Serialize};

/// Describes one instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// What it is doing.
    pub condition: Condition,
    /// Its data centre.
    pub data_centre: String,
    /// Its labels, kind and rack among them.
    pub labels: Vec<String>,
    /// What it holds.
    pub capacity: Resources,
    /// The worker that runs on it.
    pub worker: Option<String>,
}

/// Says what an instance is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It serves its pool.
    Up,
    /// It is on its way into another pool.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It is down, or in a state that this version does not know.
    Down,
}
