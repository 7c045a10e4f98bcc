use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Tells what an instance may be used for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes requests of its pool.
    Serving,
    /// It finishes its requests and takes no new ones.
    Draining,
    /// It has no work and may stop.
    Out,
}
