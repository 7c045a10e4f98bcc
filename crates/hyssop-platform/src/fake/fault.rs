use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Makes the next calls to a fake service fail.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls fail and have no effect.
    Down,
    /// Commits take effect and their answers are lost.
    LoseAnswers,
    /// Every second commit takes effect and loses its answer.
    LoseSomeAnswers,
}
