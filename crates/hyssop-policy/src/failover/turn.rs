use std::time::Duration;

/// How long a process that owned nothing leaves further new shards to others after its first one,
/// in case it does not know them yet; longer than a third of a second, the spread of a common start.
const SPREAD_PAUSE: Duration = Duration::from_millis(500);

/// The position of a process among the candidates for a vacant shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// How many candidates that may be alive come first.
    pub position: u32,
    /// How long the shard has been vacant.
    pub vacant_for: Duration,
    /// Whether the shard has had an owner before. Then the first candidates have been started and
    /// watch it; others may not know that it is vacant.
    pub had_owner: bool,
    /// How long the process has owned any shard, `None` if it owns none.
    pub owner_for: Option<Duration>,
}

impl Turn {
    /// The additional pause for each live candidate with a higher rank, which gets the first
    /// attempt.
    pub const RANK_PAUSE: Duration = Duration::from_millis(250);

    /// Returns whether the process may take over the shard now.
    pub fn has_come(self) -> bool {
        let leaves_to_others = !self.had_owner
            && self
                .owner_for
                .is_some_and(|duration| duration < SPREAD_PAUSE);
        self.vacant_for >= Self::RANK_PAUSE * self.position && !leaves_to_others
    }
}
