use serde::{Deserialize, Serialize};

/// Is one version of the fleet configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Grows with each proposal and is never used twice; 0 means none.
    pub number: u64,
    /// The object that holds the text.
    pub object: String,
    /// Who proposed it.
    pub author: String,
    /// When it was proposed, in milliseconds of the wall clock.
    pub proposed_ms: u64,
}

/// Is the head row of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version that is in force.
    pub accepted: Version,
    /// The version that waits until every entry that may be serving holds it.
    pub proposed: Option<Version>,
    /// The highest number that any proposal had.
    pub last_number: u64,
}

impl Head {
    /// Returns the highest version, accepted or only proposed.
    pub fn highest(&self) -> &Version {
        self.proposed.as_ref().unwrap_or(&self.accepted)
    }
}
