use serde::{Deserialize, Serialize};

/// The row of a lease that at most one process holds at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The holder's name.
    pub holder: String,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// The fencing token, which grows with each change of the holder.
    pub fence: u64,
    /// When the lease expires, in milliseconds of the wall clock.
    pub expires_ms: u64,
}
