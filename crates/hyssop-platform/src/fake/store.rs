use super::Fault;
use crate::object::Object;
use crate::table::{Row, Table, Transaction};
use crate::Error;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// An in-memory store of tables and objects.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
    last_version: u64,
    commits: u64,
    fault: Fault,
}

impl Store {
    /// Sets the fault injected into all subsequent calls.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns the number of transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_available(&self) -> Result<MutexGuard<'_, State>, Error> {
        let state = self.lock();
        if state.fault == Fault::Down {
            return Err(Error::Down {
                reason: "fault down is set".to_owned(),
            });
        }
        Ok(state)
    }
}

impl State {
    fn check(&self, transaction: &Transaction) -> Result<(), Error> {
        for condition in &transaction.conditions {
            let version = self.rows.get(&condition.key).map(|row| row.version);
            if version != condition.version {
                return Err(Error::Conflict {
                    key: condition.key.clone(),
                });
            }
        }
        Ok(())
    }

    fn apply(&mut self, transaction: &Transaction) {
        for write in &transaction.writes {
            self.last_version += 1;
            let Some(body) = &write.body else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                key: write.key.clone(),
                version: self.last_version,
                write_id: transaction.write_id.clone(),
                body: body.clone(),
            };
            self.rows.insert(write.key.clone(), row);
        }
        self.commits += 1;
    }

    fn loses_answer(&self) -> bool {
        match self.fault {
            Fault::LoseAnswers => true,
            Fault::LoseSomeAnswers => self.commits.is_multiple_of(2),
            Fault::None | Fault::Down => false,
        }
    }
}

impl Table for Store {
    fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error> {
        let state = self.lock_available()?;
        Ok(keys
            .iter()
            .map(|key| state.rows.get(key).cloned())
            .collect())
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let state = self.lock_available()?;
        let from = state.rows.range(prefix.to_owned()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        Ok(matching.map(|(_, row)| row.clone()).collect())
    }

    fn commit(&self, transaction: &Transaction) -> Result<(), Error> {
        let mut state = self.lock_available()?;
        state.check(transaction)?;
        state.apply(transaction);
        if state.loses_answer() {
            return Err(Error::Lost {
                reason: "fault lose-answers is set".to_owned(),
            });
        }
        Ok(())
    }
}

impl Object for Store {
    fn put(&self, name: &str, body: &str) -> Result<(), Error> {
        let mut state = self.lock_available()?;
        state.objects.insert(name.to_owned(), body.to_owned());
        Ok(())
    }

    fn get(&self, name: &str) -> Result<Option<String>, Error> {
        Ok(self.lock_available()?.objects.get(name).cloned())
    }
}
