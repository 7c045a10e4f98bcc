use super::Size;
use serde::{Deserialize, Serialize};

/// Is a worker of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The platform's name.
    pub name: String,
    /// The pool that it runs jobs of.
    pub pool: String,
    /// The rack.
    pub rack: String,
    /// What it has.
    pub size: Size,
}
