use hyssop_model::work::Wave;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The progress of a maintenance wave.
///
/// Encoded, it names each instance once, so that it fits into a row of the store if the announcement
/// of the wave does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Progress {
    /// The instances to maintain.
    pub instances: BTreeSet<String>,
    /// The maximum number of instances that may be down for the wave at once.
    pub cap: u32,
    /// The instances whose maintenance has started.
    pub started: BTreeSet<String>,
    /// When the maintenance of all instances must have started, on this process's clock. `None` if
    /// the wave was announced before this process started. Not stored.
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

/// The stored form of a wave's progress.
#[derive(Clone, Serialize, Deserialize)]
struct Stored {
    instances: BTreeSet<String>,
    cap: u32,
    /// Whether the maintenance of each instance has started, one bit each in the order of their
    /// names, the lowest bit of the first word first.
    #[serde(default)]
    started: Vec<u64>,
    /// The instances whose maintenance has started, in rows of earlier versions.
    #[serde(default, rename = "begun", skip_serializing_if = "BTreeSet::is_empty")]
    started_names: BTreeSet<String>,
}

impl From<Progress> for Stored {
    fn from(progress: Progress) -> Self {
        let Progress {
            instances,
            cap,
            started,
            ..
        } = progress;
        let mut words = vec![0_u64; instances.len().div_ceil(u64::BITS as usize)];
        for (number, name) in instances.iter().enumerate() {
            if started.contains(name) {
                words[number / u64::BITS as usize] |= 1 << (number % u64::BITS as usize);
            }
        }
        Self {
            instances,
            cap,
            started: words,
            started_names: BTreeSet::new(),
        }
    }
}

impl From<Stored> for Progress {
    fn from(stored: Stored) -> Self {
        let has_started = |number: usize| {
            let word = stored.started.get(number / u64::BITS as usize);
            word.is_some_and(|word| word >> (number % u64::BITS as usize) & 1 == 1)
        };
        let mut started = stored.started_names;
        let names = stored.instances.iter().enumerate();
        started.extend(
            names
                .filter(|(number, _)| has_started(*number))
                .map(|(_, name)| name.clone()),
        );
        Self {
            instances: stored.instances,
            cap: stored.cap,
            started,
            deadline: None,
        }
    }
}
