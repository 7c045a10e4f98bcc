use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The reason why an instance does not serve.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// An operator requested a drain.
    Operator,
    /// A maintenance wave reboots the instance.
    Maintenance,
    /// The instance moves to another pool.
    Move,
    /// The platform withdraws the instance or lost it.
    Platform,
}
