//! Commits whose lost answers are resolved by reading back.

use crate::table::{Table, Transaction};
use crate::Error;
use std::time::Duration;

/// Says what became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect, once.
    Done,
    /// It never took effect, because the named row had changed.
    Conflict(String),
}

/// Commits `transaction` and finds out whether it took effect when the answer is lost.
///
/// The write id stands in each row the transaction wrote, so a row that bears it proves the
/// commit. The transaction must require the version of at least one row that it writes: a repeat
/// then can't take effect twice. It should also write a row that no other writer replaces at once,
/// such as a numbered version: once every row is replaced, a commit reads as a conflict. `pause`
/// is called before each repeat.
///
/// # Errors
///
/// Fails when the outcome is still open after `attempts`; the caller must read before it acts.
pub fn commit(
    table: &dyn Table,
    transaction: &Transaction,
    attempts: u32,
    mut pause: impl FnMut(u32) -> Duration,
) -> Result<Commit, Error> {
    let mut last = Error::Throttled;
    let mut is_open = false;
    for attempt in 0..attempts {
        match table.commit(transaction) {
            Ok(()) => return Ok(Commit::Done),
            Err(Error::Conflict { key }) if !is_open => return Ok(Commit::Conflict(key)),
            Err(Error::Conflict { key }) => match find_write(table, transaction) {
                Ok(true) => return Ok(Commit::Done),
                Ok(false) => return Ok(Commit::Conflict(key)),
                Err(error) => last = error,
            },
            Err(error) => {
                is_open |= !error.is_retryable();
                last = error;
            }
        }
        std::thread::sleep(pause(attempt));
    }
    Err(last)
}

/// Tells whether a row bears the transaction's write id.
fn find_write(table: &dyn Table, transaction: &Transaction) -> Result<bool, Error> {
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
