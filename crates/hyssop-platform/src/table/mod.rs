//! The transactional table service.

mod condition;
mod row;
mod transaction;
mod write;

pub use condition::Condition;
pub use row::Row;
pub use transaction::Transaction;
pub use write::Write;

use crate::Error;

/// Access to the rows of the table service.
pub trait Table: Send + Sync {
    /// Reads the rows of `keys` consistently, `None` for each absent row.
    ///
    /// # Errors
    ///
    /// Fails when the service is down, exceeds the client's timeout or is over its rate limit.
    fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error>;

    /// Reads all rows whose key starts with `prefix`, ordered by key.
    ///
    /// # Errors
    ///
    /// Fails as [`read`](Self::read) does.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error>;

    /// Commits `transaction` atomically.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] when a condition does not hold and with [`Error::Lost`]
    /// when the transaction may have taken effect; see [`resolve::commit`](crate::resolve::commit).
    fn commit(&self, transaction: &Transaction) -> Result<(), Error>;
}

/// Reads one row.
///
/// # Errors
///
/// Fails as [`Table::read`] does.
pub fn read_one(table: &dyn Table, key: &str) -> Result<Option<Row>, Error> {
    let mut rows = table.read(&[key.to_owned()])?;
    Ok(rows.pop().flatten())
}
