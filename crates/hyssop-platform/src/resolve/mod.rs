//! Commits that resolve a lost response by reading back.

use crate::table::{Table, Transaction};
use crate::Error;
use std::time::Duration;

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect exactly once.
    Done,
    /// The transaction had no effect, because the named row had changed.
    Conflict(String),
}

/// Commits `transaction` and, if the response is lost, determines whether it took effect.
///
/// Every row written by the transaction carries its write id, so a row with that id proves the
/// commit. The transaction must require the version of at least one row that it writes, so that a
/// retry can't take effect twice. It should also write a row that no other writer replaces soon,
/// such as a numbered version: once every written row has been replaced, a commit is mistaken for a
/// conflict. `pause` returns the delay before each retry.
///
/// # Errors
///
/// Fails when the outcome is still unknown after `attempts`; the caller must read before it acts.
pub fn commit(
    table: &dyn Table,
    transaction: &Transaction,
    attempts: u32,
    mut pause: impl FnMut(u32) -> Duration,
) -> Result<Commit, Error> {
    let mut last = Error::Throttled;
    let mut is_uncertain = false;
    for attempt in 0..attempts {
        match table.commit(transaction) {
            Ok(()) => return Ok(Commit::Done),
            Err(Error::Conflict { key }) if !is_uncertain => return Ok(Commit::Conflict(key)),
            Err(Error::Conflict { key }) => match was_written(table, transaction) {
                Ok(true) => return Ok(Commit::Done),
                Ok(false) => return Ok(Commit::Conflict(key)),
                Err(error) => last = error,
            },
            Err(error) => {
                is_uncertain |= !error.is_retryable();
                last = error;
            }
        }
        std::thread::sleep(pause(attempt));
    }
    Err(last)
}

/// Returns whether any row carries the transaction's write id.
fn was_written(table: &dyn Table, transaction: &Transaction) -> Result<bool, Error> {
    let keys: Vec<String> = transaction
        .writes
        .iter()
        .map(|write| write.key.clone())
        .collect();
    let rows = table.read(&keys)?;
    Ok(rows
        .iter()
        .flatten()
        .any(|row| row.write_id == transaction.write_id))
}
