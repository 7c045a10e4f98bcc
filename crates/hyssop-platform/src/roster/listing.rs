use hyssop_model::instance;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The platform's view of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// The instance is up.
    Live,
    /// The platform is about to withdraw the instance.
    Leaving,
    /// The instance is down or rebooting.
    Gone,
}

/// One entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The platform's number of the instance.
    pub key: instance::Key,
    /// The platform's name of the instance.
    pub name: String,
    /// The address of the backend server, `IP:PORT`.
    pub address: String,
    /// The rack.
    pub rack: String,
    /// The data centre.
    pub data_centre: String,
    /// The number of requests that the instance can run concurrently.
    pub slots: u32,
    /// The number of connections that the instance accepts.
    pub connections: u32,
    /// The platform's view of the instance.
    pub presence: Presence,
    /// The number of boots.
    pub boots: u64,
}
