use super::Size;
use serde::{Deserialize, Serialize};

/// A worker of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's name on the platform.
    pub name: String,
    /// The pool whose jobs the worker runs.
    pub pool: String,
    /// The worker's rack.
    pub rack: String,
    /// The worker's capacity.
    pub size: Size,
}
