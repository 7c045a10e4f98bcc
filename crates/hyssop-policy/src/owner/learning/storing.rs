use crate::owner::batch::RowWrite;
use crate::owner::{Record, Scheduler};
use std::time::Duration;

/// Table of what the pool's owner has learned about durations.
pub(in crate::owner) const LEARNING: &str = "learning";
const LEARNING_KEY: &str = "learning";
/// The shortest time between two rows in batches that are sent anyway. A successor that lacks the last
/// ten seconds knows the images that matter.
const STORE_INTERVAL: Duration = Duration::from_secs(10);

/// What of the learned durations is stored.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::owner) struct Stored {
    at: Duration,
    /// The number of observations that the row covers.
    observations: u64,
}

impl Scheduler {
    /// Returns the row with what was learned, if one is due, for a batch that is sent anyway and has
    /// room for `room` bytes.
    pub(in crate::owner) fn due_learning_row(
        &mut self,
        now: Duration,
        room: usize,
    ) -> Option<RowWrite> {
        if now.saturating_sub(self.learning_stored.at) < STORE_INTERVAL {
            return None;
        }
        let row = self.learning_row(room)?;
        self.learning_stored = Stored {
            at: now,
            observations: self.learning.observations,
        };
        Some(row)
    }

    /// Returns the row (table, key and value) with what was learned since it was last stored, for the
    /// transaction that releases the pool; `None` if there is nothing new.
    pub fn last_learning_row(&self) -> Option<(&'static str, String, Vec<u8>)> {
        self.learning_row(usize::MAX)
    }

    fn learning_row(&self, room: usize) -> Option<RowWrite> {
        if self.learning.observations == self.learning_stored.observations {
            return None;
        }
        let limit = self.settings.row_limit();
        let limit = limit.min(room.saturating_sub(LEARNING_KEY.len()));
        let value = self.learning.encode(limit)?;
        Some((LEARNING, LEARNING_KEY.to_owned(), value))
    }

    /// Restores what an earlier owner has learned. A row that can't be used costs what was learned, and
    /// nothing else.
    pub(in crate::owner) fn recover_learning(&mut self, row: &Record) {
        if row.key != LEARNING_KEY {
            return;
        }
        match self.learning.restore(&row.value) {
            Ok(()) => log::info!(
                "event=learning-recovered pool={} queues={} images={} bytes={}",
                self.pool,
                self.learning.queues.len(),
                self.learning.images.len(),
                row.value.len()
            ),
            Err(reason) => log::warn!(
                "event=learning-ignored pool={} reason={reason} bytes={}",
                self.pool,
                row.value.len()
            ),
        }
        self.learning_stored.observations = self.learning.observations;
    }
}
