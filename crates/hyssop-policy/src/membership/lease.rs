use std::time::{Duration, Instant};

/// Is a lease as its holder sees it, on the monotonic clock.
///
/// The holder measures from before it sent the renewal and stops a margin early, so it stops
/// before anyone else may take its place, whatever the answer's delay was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    ends: Option<Instant>,
}

impl Lease {
    /// Takes in a renewal that was sent at `sent` and took effect.
    pub fn renew(&mut self, sent: Instant, length: Duration, margin: Duration) {
        let ends = sent + length.saturating_sub(margin);
        self.ends = Some(self.ends.map_or(ends, |old| old.max(ends)));
    }

    /// Gives the lease up.
    pub fn give_up(&mut self) {
        self.ends = None;
    }

    /// Tells whether the lease may be used.
    pub fn is_held(&self, now: Instant) -> bool {
        self.ends.is_some_and(|ends| now < ends)
    }

    /// Returns when the lease ends, if it was ever held.
    pub fn ends(&self) -> Option<Instant> {
        self.ends
    }
}
