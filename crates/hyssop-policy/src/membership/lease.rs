use std::time::{Duration, Instant};

/// A lease as its holder sees it, on the monotonic clock.
///
/// The term is measured from before the renewal was sent and ends early by a margin. The holder
/// therefore stops before another process can acquire the lease, however late the response to the
/// renewal arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    ends: Option<Instant>,
}

impl Lease {
    /// Records a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Instant, length: Duration, margin: Duration) {
        let ends = sent + length.saturating_sub(margin);
        self.ends = Some(self.ends.map_or(ends, |old| old.max(ends)));
    }

    /// Releases the lease.
    pub fn give_up(&mut self) {
        self.ends = None;
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.ends.is_some_and(|ends| now < ends)
    }

    /// Returns when the lease expires, or `None` if it was never held or has been released.
    pub fn ends(&self) -> Option<Instant> {
        self.ends
    }
}
