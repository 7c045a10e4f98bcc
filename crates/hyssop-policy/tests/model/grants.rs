//! The table with the grants, as the store keeps it.

// Each test binary uses only some of it.
#![allow(dead_code, unreachable_pub)]

use hyssop_policy::account::ledger::{Outcome, Row, StoredRow, Write};
use std::collections::BTreeMap;

/// A table of rows with versions from one counter.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    pub transactions: usize,
}

impl Table {
    /// Performs a transaction if all its conditions hold.
    pub fn commit(&mut self, writes: &[Write]) -> Outcome {
        let failed: Vec<StoredRow> = writes
            .iter()
            .filter(|write| self.row(&write.account).version != write.expected)
            .map(|write| self.row(&write.account))
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict(failed);
        }
        self.transactions += 1;
        self.version += 1;
        for write in writes {
            let row = (self.version, write.value.clone());
            self.rows.insert(write.account.clone(), row);
        }
        Outcome::Done(self.version)
    }

    /// Returns an outcome as an answer after later transactions, which names the latest version.
    pub fn late_answer(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Done(_) => Outcome::Done(self.version),
            other => other,
        }
    }

    /// Replaces a row, whatever its version.
    pub fn put(&mut self, account: &str, value: &[u8]) {
        self.version += 1;
        let row = (self.version, value.to_vec());
        self.rows.insert(account.to_owned(), row);
    }

    pub fn row(&self, account: &str) -> StoredRow {
        let row = self.rows.get(account);
        StoredRow {
            account: account.to_owned(),
            version: row.map_or(0, |(version, _)| *version),
            value: row.map(|(_, value)| value.clone()),
        }
    }

    pub fn rows(&self) -> Vec<StoredRow> {
        self.rows.keys().map(|account| self.row(account)).collect()
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn read(&self, account: &str) -> Row {
        let row = self.row(account);
        Row::read(&row.value.expect("a row")).expect("a readable row")
    }
}
