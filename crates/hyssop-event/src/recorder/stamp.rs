/// A hybrid logical clock, after Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
///
/// It is strictly monotonic and advances past the timestamps received from other processes, so that
/// in a merged timeline an effect never precedes its cause.
#[derive(Debug, Default)]
pub(crate) struct HybridClock {
    last: u64,
}

impl HybridClock {
    /// Returns the next timestamp, given the wall clock in microseconds.
    pub(crate) fn next(&mut self, wall_us: u64) -> u64 {
        self.last = wall_us.max(self.last + 1);
        self.last
    }

    /// Advances the clock to at least the timestamp of another process.
    pub(crate) fn observe(&mut self, stamp: u64) {
        self.last = self.last.max(stamp);
    }
}
