use hyssop_model::instance;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Tells how the platform sees an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// It is up.
    Live,
    /// The platform takes it away soon.
    Leaving,
    /// It is down or rebooting.
    Gone,
}

/// Is one line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The platform's number.
    pub key: instance::Key,
    /// The platform's name.
    pub name: String,
    /// Where the backend server listens, `IP:PORT`.
    pub address: String,
    /// The rack.
    pub rack: String,
    /// The data centre.
    pub data_centre: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// How the platform sees it.
    pub presence: Presence,
    /// How often it was booted.
    pub boots: u64,
}
