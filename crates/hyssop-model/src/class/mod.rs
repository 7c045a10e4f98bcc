//! The urgency of a request or a job.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The urgency class of work within one flow; earlier variants are served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Work that must start within 1.5 s.
    Urgent,
    /// Work with an ordinary deadline.
    #[default]
    Normal,
    /// Work that can wait, such as archive and reprint requests.
    Deferrable,
}

impl Class {
    /// The number of classes.
    pub const COUNT: usize = 3;

    /// Returns the position of the class, 0 for the most urgent.
    pub fn index(self) -> usize {
        self as usize
    }
}
