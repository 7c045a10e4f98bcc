/// Is a hybrid logical clock, after Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
///
/// It never runs backwards and is moved forward by the stamps that other processes send, so an
/// effect never stands before its cause in a merged time line.
#[derive(Debug, Default)]
pub(crate) struct Stamp {
    last: u64,
}

impl Stamp {
    /// Returns the next stamp, given the wall clock in microseconds.
    pub(crate) fn next(&mut self, wall_us: u64) -> u64 {
        self.last = wall_us.max(self.last + 1);
        self.last
    }

    /// Moves the clock beyond the stamp of another process.
    pub(crate) fn observe(&mut self, stamp: u64) {
        self.last = self.last.max(stamp);
    }
}
