//! Requests of callers.

use serde::{Deserialize, Serialize};

/// Names a request within one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub u64);
