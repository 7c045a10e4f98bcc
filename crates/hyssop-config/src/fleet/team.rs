use serde::{Deserialize, Serialize};

/// A team with its quota of workers for jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// The share of the workers, relative to the other teams.
    pub weight: u32,
}
