use hyssop_model::work::Wave;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The progress of a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The instances to maintain.
    pub instances: BTreeSet<String>,
    /// The maximum number of instances that may be down for the wave at once.
    pub cap: u32,
    /// The instances whose maintenance has started.
    #[serde(rename = "begun")]
    pub started: BTreeSet<String>,
    /// When the maintenance of all instances must have started, on this process's clock. `None` if
    /// the wave was announced before this process started. Not stored.
    #[serde(skip)]
    pub deadline: Option<Duration>,
}

impl Progress {
    pub(super) fn new(wave: &Wave) -> Self {
        Self {
            instances: wave.instances.iter().cloned().collect(),
            cap: wave.cap,
            started: BTreeSet::new(),
            deadline: None,
        }
    }

    /// Returns the instances whose maintenance has not started.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        self.instances.difference(&self.started)
    }
}
