use hyssop_policy::owner::{Batch, Record};
use std::collections::BTreeMap;

/// A store of the pool's rows that rejects batches of earlier terms.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub term: u64,
    rows: BTreeMap<(&'static str, String), Vec<u8>>,
}

impl FakeStore {
    /// Commits a batch of `term`; returns whether the term is still current.
    pub fn commit(&mut self, term: u64, batch: &Batch) -> bool {
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
