use serde::{Deserialize, Serialize};

/// Asks that an instance take no work until the intent is withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The instance's name.
    pub instance: String,
    /// Who asks.
    pub author: String,
    /// When it was asked, in milliseconds of the wall clock.
    pub asked_ms: u64,
}
