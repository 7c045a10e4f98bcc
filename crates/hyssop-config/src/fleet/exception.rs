use super::Share;
use serde::{Deserialize, Serialize};

/// An override of the fleet's default for one pool, with its documented reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// The exception's name.
    pub name: String,
    /// The pool that it applies to.
    pub pool: String,
    /// How the pool's instances are shared.
    pub share: Share,
    /// Why the default doesn't fit the pool.
    pub reason: String,
}
