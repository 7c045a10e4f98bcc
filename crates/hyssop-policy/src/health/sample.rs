use std::time::Duration;

/// Is what one request or probe showed of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// It answered, after this long.
    Answered(Duration),
    /// It answered with a server error.
    Failed,
    /// It broke the connection.
    Broken,
    /// It gave no answer in time.
    TimedOut,
    /// It refused the connection.
    Refused,
}

impl Sample {
    /// Tells whether the instance did its work.
    pub fn is_good(self) -> bool {
        matches!(self, Self::Answered(_))
    }

    /// Returns how much the sample speaks against the instance.
    pub fn strikes(self) -> u32 {
        match self {
            Self::Answered(_) => 0,
            Self::Failed | Self::Broken => 1,
            Self::TimedOut | Self::Refused => 2,
        }
    }
}
