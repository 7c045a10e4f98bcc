use super::Page;

/// The position up to which a table's changes have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    version: u64,
    /// The store's time of the last answer, in milliseconds.
    answered_ms: Option<i64>,
    /// Whether a call has failed since the last answer.
    is_interrupted: bool,
}

impl Cursor {
    /// Creates the position after a read of all rows at `version`, answered at `answered_ms` on the
    /// store's clock.
    pub fn new(version: u64, answered_ms: Option<i64>) -> Self {
        Self {
            version,
            answered_ms,
            is_interrupted: false,
        }
    }

    /// Returns the version after which the next changes are read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that a call got no answer.
    pub fn on_failure(&mut self) {
        self.is_interrupted = true;
    }

    /// Advances past the changes of an answer, and returns the earliest time on the store's clock,
    /// in milliseconds, at which they were made, if the store tells its time.
    ///
    /// The store answers a waiting call as soon as there is a change, so the time of the answer is
    /// that of the change. After calls that failed, the change may have been made at any time since
    /// the last answer.
    pub fn advance(&mut self, page: &Page) -> Option<i64> {
        let newest = page.rows.iter().map(|row| row.version).max();
        self.version = self.version.max(newest.unwrap_or(0));
        if page.rows.is_empty() {
            self.version = self.version.max(page.version);
        }
        let made_at_ms = if self.is_interrupted {
            self.answered_ms
        } else {
            page.now_ms
        };
        self.answered_ms = page.now_ms;
        self.is_interrupted = false;
        made_at_ms
    }
}
