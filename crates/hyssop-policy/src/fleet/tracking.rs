use hyssop_model::work::Wave;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// Holds how far a maintenance wave has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Campaign {
    /// The instances to maintain.
    pub instances: BTreeSet<String>,
    /// The most that may be down for it at once.
    pub cap: u32,
    /// Those whose maintenance has begun.
    pub begun: BTreeSet<String>,
    /// When all must have been maintained, on the holder's clock; not stored.
    #[serde(skip)]
    pub deadline: Duration,
}

impl Campaign {
    pub(super) fn new(wave: &Wave, now: Duration) -> Self {
        Self {
            instances: wave.instances.iter().cloned().collect(),
            cap: wave.cap,
            begun: BTreeSet::new(),
            deadline: now + Duration::from_millis(wave.duration_ms),
        }
    }

    /// Returns the instances whose maintenance has not begun.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        self.instances.difference(&self.begun)
    }

    /// Tells whether the maintenance of every instance has begun.
    pub fn is_done(&self) -> bool {
        self.due().next().is_none()
    }
}
