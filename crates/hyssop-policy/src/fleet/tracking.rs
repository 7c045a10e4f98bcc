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
    /// When the maintenance of all must have begun, on the holder's clock; `None` where it is not
    /// known, since this process started after the wave came. Not stored.
    #[serde(skip)]
    pub deadline: Option<Duration>,
}

impl Campaign {
    pub(super) fn new(wave: &Wave) -> Self {
        Self {
            instances: wave.instances.iter().cloned().collect(),
            cap: wave.cap,
            begun: BTreeSet::new(),
            deadline: None,
        }
    }

    /// Returns the instances whose maintenance has not begun.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        self.instances.difference(&self.begun)
    }
}
