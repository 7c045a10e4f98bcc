use serde::{Deserialize, Serialize};

/// Is the row of a lease that one process of many holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder's name.
    pub holder: String,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Grows with each change of the holder: the fencing token.
    pub fence: u64,
    /// When the lease ends, in milliseconds of the wall clock.
    pub expires_ms: u64,
}
