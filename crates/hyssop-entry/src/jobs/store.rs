use super::submission::is_valid_id;
use super::Submitter;
use crate::store::new_write_id;
use hyssop_model::job::Record;
use hyssop_platform::resolve::{self, Commit};
use hyssop_platform::table::{read_one, Condition, Row, Table, Transaction};
use hyssop_platform::{keys, Error};
use std::sync::Arc;
use std::time::Duration;

/// Access to the rows of jobs.
pub(crate) struct JobStore {
    pub(crate) region: String,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) submitter: Submitter,
}

impl JobStore {
    /// Returns the row of an open or ended job.
    ///
    /// # Errors
    ///
    /// Fails when the table service is unavailable.
    pub(crate) fn get(&self, id: &str) -> Result<Option<Record>, Error> {
        Ok(self.find(id)?.map(|(_, record)| record))
    }

    /// Returns the open jobs of a team, or of all teams.
    ///
    /// # Errors
    ///
    /// Fails when the table service is unavailable.
    pub(crate) fn list(&self, team: Option<&str>) -> Result<Vec<Record>, Error> {
        let rows = self.table.scan(&keys::jobs(&self.region))?;
        let records: Vec<Record> = rows.iter().map(Row::parse).collect::<Result<_, _>>()?;
        let is_wanted = |record: &Record| team.is_none_or(|team| record.team == team);
        Ok(records.into_iter().filter(is_wanted).collect())
    }

    /// Marks a job as cancelled and returns its row; an ended job stays unchanged.
    ///
    /// # Errors
    ///
    /// Fails when the table service is unavailable, or when every attempt conflicts with another
    /// writer of the row.
    pub(crate) fn cancel(&self, id: &str) -> Result<Option<Record>, Error> {
        // A conflict starts the next attempt; `ATTEMPTS` limits the commits of one transaction whose
        // result is unknown.
        const CONFLICT_ATTEMPTS: u32 = 5;
        const ATTEMPTS: u32 = 4;
        const DELAY: Duration = Duration::from_millis(50);
        for _ in 0..CONFLICT_ATTEMPTS {
            let Some((row, mut record)) = self.find(id)? else {
                return Ok(None);
            };
            if record.state.is_final() || record.is_cancelled {
                return Ok(Some(record));
            }
            record.is_cancelled = true;
            let transaction = Transaction::new(new_write_id())
                .require(Condition::unchanged(&row))
                .put(&row.key, &record);
            let commit = resolve::commit(self.table.as_ref(), &transaction, ATTEMPTS, |_| DELAY)?;
            if commit == Commit::Done {
                return Ok(Some(record));
            }
        }
        Err(Error::Conflict { key: id.to_owned() })
    }

    fn find(&self, id: &str) -> Result<Option<(Row, Record)>, Error> {
        if !is_valid_id(id) {
            return Ok(None);
        }
        for key in [
            keys::job(&self.region, id),
            keys::ended_job(&self.region, id),
        ] {
            if let Some(row) = read_one(self.table.as_ref(), &key)? {
                let record = row.parse()?;
                return Ok(Some((row, record)));
            }
        }
        Ok(None)
    }
}
