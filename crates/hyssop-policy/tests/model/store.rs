use hyssop_policy::owner::{Batch, Record, Scheduler};
use std::collections::BTreeMap;
use std::time::Duration;

/// A store of the pool's rows that rejects batches of earlier terms.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub term: u64,
    /// Whether the owner of `term` has released the pool.
    pub is_released: bool,
    /// The term whose handover the owner's row names.
    pub handover: Option<u64>,
    rows: BTreeMap<(&'static str, String), Vec<u8>>,
}

impl FakeStore {
    /// Commits a batch of `term`; returns whether the term is still current.
    ///
    /// # Panics
    ///
    /// Panics if the batch exceeds the limits of the platform's store, which rejects such a call.
    pub fn commit(&mut self, term: u64, batch: &Batch) -> bool {
        assert_within_limits(batch);
        if term != self.term {
            return false;
        }
        for (table, key, value) in &batch.writes {
            self.rows.insert((table, key.clone()), value.clone());
        }
        for (table, key) in &batch.removes {
            self.rows.remove(&(*table, key.clone()));
        }
        true
    }

    /// Replaces the owner's row by that of the next term, which keeps the handover of a released pool.
    pub fn begin_term(&mut self) {
        self.term += 1;
        self.handover = self.handover.filter(|_| self.is_released);
        self.is_released = false;
    }

    /// Releases the pool with the row that describes it to the next owner; returns whether `term` is
    /// still current.
    pub fn release(&mut self, term: u64, handover: Option<Vec<u8>>) -> bool {
        if term != self.term {
            return false;
        }
        self.is_released = true;
        self.handover = handover.as_ref().map(|_| term);
        if let Some(value) = handover {
            assert!(value.len() <= ROW_BYTES, "{} bytes", value.len());
            let key = Scheduler::handover_key().to_owned();
            self.rows.insert((Scheduler::handover_table(), key), value);
        }
        true
    }

    /// Commits all changes of a scheduler at `now`, under the store's term.
    pub fn commit_all(&mut self, scheduler: &mut Scheduler, now: Duration) {
        while let Some(batch) = scheduler.next_batch(now) {
            self.commit(self.term, &batch);
            scheduler.on_commit(now);
        }
    }

    pub fn records(&self) -> Vec<Record> {
        self.rows
            .iter()
            .map(|((table, key), value)| Record {
                table: (*table).to_owned(),
                key: key.clone(),
                value: value.clone(),
            })
            .collect()
    }
}

/// The limits of the platform's store: the bytes of a row's value, the entries and the bytes of a
/// call, in which values are base64.
const ROW_BYTES: usize = 65_536;
const CALL_ENTRIES: usize = 100;
const CALL_BYTES: usize = 1_000_000;
/// The size of an entry without its key and value.
const ENTRY_BYTES: usize = 100;

/// # Panics
///
/// Panics if the store would reject a call with this batch.
pub fn assert_within_limits(batch: &Batch) {
    let mut bytes = 0;
    for (table, key, value) in &batch.writes {
        let size = value.len();
        assert!(size <= ROW_BYTES, "row {table}/{key} has {size} bytes");
        bytes += ENTRY_BYTES + key.len() + size.div_ceil(3) * 4;
    }
    for (_, key) in &batch.removes {
        bytes += ENTRY_BYTES + key.len();
    }
    // One more entry each for the condition and the head row.
    let entries = batch.writes.len() + batch.removes.len() + 2;
    assert!(entries <= CALL_ENTRIES, "the call has {entries} entries");
    assert!(bytes <= CALL_BYTES, "the call has {bytes} bytes");
}
