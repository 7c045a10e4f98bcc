use std::time::{Duration, Instant};

/// A lease as its holder sees it, on the monotonic clock.
///
/// The term is measured from before the renewal was sent and ends early by a margin. The holder
/// therefore stops before another process can acquire the lease, however late the response to the
/// renewal arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    expires_at: Option<Instant>,
}

impl Lease {
    /// Records a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Instant, length: Duration, margin: Duration) {
        let expires_at = sent + length.saturating_sub(margin);
        self.expires_at = Some(
            self.expires_at
                .map_or(expires_at, |old| old.max(expires_at)),
        );
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.expires_at = None;
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns when the lease expires, or `None` if it was never held or has been released.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }
}
