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

/// Reads rows and commits transactions of several rows.
pub trait Table: Send + Sync {
    /// Reads the rows of `keys`, `None` for an absent row, as of one moment.
    ///
    /// # Errors
    ///
    /// Fails when the service is down, slow beyond the client's timeout or over its rate limit.
    fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error>;

    /// Reads all rows whose key starts with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Fails as [`read`](Self::read) does.
    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error>;

    /// Commits `transaction` as a whole or not at all.
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
