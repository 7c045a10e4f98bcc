use crate::instance;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Says which instances a wave reboots.
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
    /// Tells whether the wave reboots an instance.
    pub fn covers(&self, record: &instance::Record) -> bool {
        match self {
            Self::All => true,
            Self::Rack(rack) => record.rack == *rack,
            Self::DataCentre(data_centre) => record.data_centre == *data_centre,
        }
    }
}

/// Tells how far a wave is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It takes instances out as the budgets allow.
    Running,
    /// It takes no more instances out.
    Paused,
    /// It was ended before every instance was rebooted.
    Cancelled,
    /// Every instance was rebooted.
    Done,
}

/// Is a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The instances.
    pub scope: Scope,
    /// How far it is.
    pub phase: Phase,
    /// Who started it.
    pub author: String,
    /// When it was started, in milliseconds of the wall clock.
    pub started_ms: u64,
    /// When it must be done, in milliseconds of the wall clock.
    pub deadline_ms: u64,
}
