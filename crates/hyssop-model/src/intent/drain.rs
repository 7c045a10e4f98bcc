use serde::{Deserialize, Serialize};

/// An operator's request to keep an instance out of service until the intent is withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The instance's name.
    pub instance: String,
    /// The operator who requested the drain.
    pub author: String,
    /// When the drain was requested, in milliseconds of the wall clock.
    pub asked_ms: u64,
}
