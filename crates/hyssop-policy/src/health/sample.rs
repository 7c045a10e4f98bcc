use std::time::Duration;

/// Result of one request or probe, as far as it concerns the instance's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The instance answered after this time.
    Answered(Duration),
    /// The instance answered with a server error.
    Failed,
    /// The connection broke, or the answer was incomplete or wrong.
    Broken,
    /// The instance did not answer in time.
    TimedOut,
    /// The connection could not be established.
    Refused,
}

impl Sample {
    /// Returns whether the instance answered without an error.
    pub fn is_good(self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Returns the weight of the sample in the failure score.
    pub fn failure_weight(self) -> u32 {
        match self {
            Self::Answered(_) => 0,
            Self::Failed | Self::Broken => 1,
            Self::TimedOut | Self::Refused => 2,
        }
    }
}
