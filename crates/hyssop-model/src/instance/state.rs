use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The service state of an instance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepting requests of its pool.
    Serving,
    /// Finishing its requests and accepting no new ones.
    Draining,
    /// Out of service: it has no work and may stop.
    Out,
}
