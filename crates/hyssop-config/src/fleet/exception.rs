use super::Share;
use serde::{Deserialize, Serialize};

/// Overrides the fleet's default for one pool, with the reason in writing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// The exception's name.
    pub name: String,
    /// The pool it is for.
    pub pool: String,
    /// How the pool's instances are shared.
    pub share: Share,
    /// Why the default does not fit.
    pub reason: String,
}
