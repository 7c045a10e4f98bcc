use super::Resources;
use serde::{Deserialize, Serialize};

/// An instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The pool that the instance belongs to.
    pub pool: String,
    /// The condition.
    pub condition: Condition,
    /// The data centre.
    pub data_centre: String,
    /// The labels, including kind and rack.
    pub labels: Vec<String>,
    /// The instance's resources.
    pub capacity: Resources,
    /// The worker on the instance, if any.
    pub worker: Option<String>,
}

/// The condition of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Serving its pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// Under maintenance.
    Maintained,
    /// Down, or in a state unknown to this version.
    Down,
}
