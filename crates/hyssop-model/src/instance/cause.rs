use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Says why an instance does not serve.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// An operator asked for its drain.
    Operator,
    /// A maintenance wave reboots it.
    Maintenance,
    /// It moves to another pool.
    Move,
    /// The platform takes it away or lost it.
    Platform,
}
