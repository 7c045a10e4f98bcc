//! Types used throughout the workspace.

pub use crate::arena::{Arena, Names};
pub use crate::class::Class;
pub use crate::clock::Clock;
pub use crate::outcome::Outcome;
pub use crate::{entry, epoch, flow, instance, pool, request};
pub use std::collections::{BTreeMap, BTreeSet};
pub use std::time::{Duration, Instant, SystemTime};
