use serde::{Deserialize, Serialize};

/// One version of the fleet configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version number, which grows with each proposal and is never reused; 0 means none.
    pub number: u64,
    /// The name of the object that stores the text.
    pub object: String,
    /// Who proposed it.
    pub author: String,
    /// When it was proposed, in milliseconds of the wall clock.
    pub proposed_ms: u64,
}

/// The head row of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version that is in force.
    pub accepted: Version,
    /// The version that is accepted once every entry that may be serving has stored it.
    pub proposed: Option<Version>,
    /// The highest number of any proposal so far.
    pub last_number: u64,
}

impl Head {
    /// Returns the newest version, accepted or only proposed.
    pub fn highest(&self) -> &Version {
        self.proposed.as_ref().unwrap_or(&self.accepted)
    }
}
