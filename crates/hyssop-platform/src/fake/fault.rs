use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// A fault injected into a fake service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls fail without effect.
    Down,
    /// Commits take effect but their responses are lost.
    LoseAnswers,
    /// Every second commit takes effect but its response is lost.
    LoseSomeAnswers,
}
