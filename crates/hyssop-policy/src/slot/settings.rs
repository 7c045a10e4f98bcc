use std::time::Duration;

/// Settings of an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Whether idle slots are lent to peers.
    pub is_lending: bool,
    /// How long a borrower may start requests on a slot on loan.
    pub tenure: Duration,
    /// How long a loan may be idle before it is returned to the lender.
    pub idle_timeout: Duration,
    /// How long the slots of a removed member stay unused, so that its requests can finish.
    pub quarantine: Duration,
    /// How long a slot stays unused after an attempt that may still be running on the instance.
    pub cooldown: Duration,
    /// The interval between status reports to the same peer.
    pub heartbeat_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            is_lending: true,
            tenure: Duration::from_secs(1),
            idle_timeout: Duration::from_millis(50),
            quarantine: Duration::from_secs(10),
            cooldown: Duration::from_secs(1),
            heartbeat_interval: Duration::from_secs(1),
        }
    }
}
