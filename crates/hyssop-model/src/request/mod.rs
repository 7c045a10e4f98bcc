//! Callers' requests.

use serde::{Deserialize, Serialize};

/// The key of a request, unique within one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub u64);
