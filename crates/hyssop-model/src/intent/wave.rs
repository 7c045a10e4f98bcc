use crate::instance;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The set of instances that a wave reboots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "name")]
pub enum Scope {
    /// Every instance of the region.
    All,
    /// The instances of one rack.
    Rack(String),
    /// The instances of one data centre.
    DataCentre(String),
}

impl Scope {
    /// Returns whether the wave reboots an instance.
    pub fn covers(&self, record: &instance::Record) -> bool {
        match self {
            Self::All => true,
            Self::Rack(rack) => record.rack == *rack,
            Self::DataCentre(data_centre) => record.data_centre == *data_centre,
        }
    }
}

/// The phase of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Takes instances out of service as the budgets allow.
    Running,
    /// Takes no further instances out of service.
    Paused,
    /// Cancelled before every instance was rebooted.
    Cancelled,
    /// Every instance was rebooted.
    Done,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The instances to reboot.
    pub scope: Scope,
    /// The current phase.
    pub phase: Phase,
    /// The operator who started the wave.
    pub author: String,
    /// When the wave was started, in milliseconds of the wall clock.
    pub started_ms: u64,
    /// The deadline of the wave, in milliseconds of the wall clock.
    pub deadline_ms: u64,
}
