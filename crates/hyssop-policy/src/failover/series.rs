use std::time::Duration;

/// A series of planned stops, as one process sees it.
///
/// Versions of the members' rows tell who has been restarted since the series began, so no clocks
/// are compared. A process that stops stores what it knows of the series in its row, from which
/// processes that started meanwhile learn it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Series {
    /// The version of the row that announced the first stop.
    first: Option<u64>,
    /// When a stop was last seen.
    seen_at: Duration,
}

impl Series {
    /// The longest time between two stops of a series: restarts one after the other take a few
    /// seconds each; with more time between them, one change of owner more costs little.
    pub const MAX_PAUSE: Duration = Duration::from_secs(30);

    /// Records a stop that was seen at `now`. `version` is that of the row that announced it, and
    /// `first` the first stop of the series according to that row, if any.
    pub fn on_stop(&mut self, version: u64, first: Option<u64>, now: Duration) {
        let first = first.unwrap_or(version);
        let known = self.first(now).unwrap_or(first);
        self.first = Some(known.min(first));
        self.seen_at = now;
    }

    /// Returns the version of the row that announced the first stop of the series under way, `None`
    /// if there is none.
    pub fn first(&self, now: Duration) -> Option<u64> {
        self.first
            .filter(|_| now.saturating_sub(self.seen_at) <= Self::MAX_PAUSE)
    }
}
