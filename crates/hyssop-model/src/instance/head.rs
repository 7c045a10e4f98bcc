use serde::{Deserialize, Serialize};

/// The row that changes with every instance row of a region, so that readers poll a single row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision, which grows by one with each change.
    pub revision: u64,
    /// The most recently changed instances, each with the revision of its change.
    pub recent: Vec<(u64, String)>,
}

impl Head {
    /// The number of recent changes kept; a reader that lags further behind reads all rows.
    pub const RECENT_CHANGES: usize = 64;

    /// Records a change of `names` and returns the new revision.
    pub fn advance<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> u64 {
        self.revision += 1;
        for name in names {
            self.recent.push((self.revision, name.to_owned()));
        }
        let surplus = self.recent.len().saturating_sub(Self::RECENT_CHANGES);
        self.recent.drain(..surplus);
        self.revision
    }

    /// Returns the names changed after `revision`, or `None` if some are no longer kept.
    pub fn changed_after(&self, revision: u64) -> Option<Vec<&str>> {
        let oldest = self.recent.first().map_or(self.revision, |change| change.0);
        if revision < oldest.saturating_sub(1) || revision > self.revision {
            return None;
        }
        let changed = self.recent.iter().filter(|change| change.0 > revision);
        Some(changed.map(|change| change.1.as_str()).collect())
    }
}
