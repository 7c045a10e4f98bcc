use std::time::Duration;

/// Holds the times of an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Whether idle slots are lent to peers.
    pub is_lending: bool,
    /// How long a borrower may start requests on a lent slot.
    pub tenure: Duration,
    /// How long a borrowed slot may stand idle before it is returned.
    pub idle: Duration,
    /// How long the slots of a removed member stay unused, so that its requests end.
    pub quarantine: Duration,
    /// How long a slot rests after an attempt that may still be running at the instance.
    pub cooling: Duration,
    /// The pause between two statuses to the same peer.
    pub heartbeat: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_lending: true,
            tenure: Duration::from_secs(1),
            idle: Duration::from_millis(50),
            quarantine: Duration::from_secs(10),
            cooling: Duration::from_secs(1),
            heartbeat: Duration::from_secs(1),
        }
    }
}
