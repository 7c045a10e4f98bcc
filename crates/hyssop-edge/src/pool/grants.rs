use super::Driver;
use crate::http::Failure;
use crate::store::{follow, Scope, Store, Update};
use hyssop_platform::rows::{Commit, Key, Row, Transaction};
use hyssop_policy::account::ledger::{Outcome, StoredRow, Write, SHARD, TABLE};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Batches changes of the grants: the owners of several pools react to the same change.
const FOLLOW_PAUSE: Duration = Duration::from_millis(15);
/// Changes within this window share a transaction, and a check, which takes time for every account.
const BATCH_WINDOW: Duration = Duration::from_millis(5);
/// How often it is checked whether a write is due that had to wait.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// How often a pool without accounts that have a quota checks whether there is one.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

impl Driver {
    /// Follows the table with the grants until the term ends, once any account has a quota.
    pub(super) async fn follow_grants(self: Rc<Self>) {
        while !self.scheduler.borrow().has_quotas() {
            if self.is_over() {
                return;
            }
            // The configuration wakes nobody but the scheduler's own task.
            tokio::time::sleep(IDLE_INTERVAL).await;
        }
        let shards = || BTreeSet::from([SHARD.to_owned()]);
        let store = self.node.store.clone();
        follow(store, TABLE, FOLLOW_PAUSE, Scope::Named, shards, |update| {
            if self.is_over() {
                return false;
            }
            let (rows, is_complete) = match update {
                Update::Snapshot(rows) => (rows, true),
                Update::Changes(rows, _) => (rows, false),
            };
            if is_complete || !rows.is_empty() {
                self.apply_grant_rows(rows, is_complete);
            }
            true
        })
        .await;
    }

    fn apply_grant_rows(&self, rows: Vec<Row>, is_complete: bool) {
        let now = self.node.clock.now();
        let rows = rows.into_iter().map(stored_row).collect();
        let scheduler = &mut *self.scheduler.borrow_mut();
        scheduler.on_grant_rows(rows, is_complete, now);
        // A process that has missed a configuration starts nothing under the earlier one.
        self.node
            .on_peer_version(scheduler.newest_granted_version());
        self.wake.notify_one();
    }

    /// Writes the changes of the pool's grants, one transaction at a time, until the term ends.
    pub(super) async fn write_grants(self: Rc<Self>) {
        while !self.is_over() {
            let interval = if self.scheduler.borrow().has_quotas() {
                WRITE_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            // Both a wake-up and the end of the interval lead to the same check.
            let _ = tokio::time::timeout(interval, self.grants_wake.notified()).await;
            if self.is_leaving.get() || !self.has_authority() {
                continue;
            }
            tokio::time::sleep(BATCH_WINDOW).await;
            let now = self.node.clock.now();
            let writes = self.scheduler.borrow_mut().next_grant_writes(now);
            let Some(writes) = writes else {
                continue;
            };
            let outcome = commit(&self.node.store, &writes).await;
            self.node.metrics.count_grant_write(outcome_label(&outcome));
            let now = self.node.clock.now();
            self.scheduler.borrow_mut().on_grant_outcome(outcome, now);
            self.wake.notify_one();
        }
    }
}

/// Sends the writes as one transaction, once. What became of one without an answer shows in the rows.
async fn commit(store: &Store, writes: &[Write]) -> Outcome {
    let key = |write: &Write| Key::new(TABLE, SHARD, &write.account);
    let transaction = Transaction {
        expected: writes.iter().map(|w| (key(w), w.expected)).collect(),
        writes: writes.iter().map(|w| (key(w), w.value.clone())).collect(),
        removes: Vec::new(),
    };
    let outcome = tokio::select! {
        outcome = store.commit(&transaction) => outcome,
        // The call was sent during an outage and may hang long beyond its end.
        () = store.recovered() => Err(Failure::Lost),
    };
    match outcome {
        Ok(Commit::Done(version)) => Outcome::Done(version),
        Ok(Commit::Conflict(rows)) => Outcome::Conflict(rows.into_iter().map(stored_row).collect()),
        Ok(Commit::Refused) | Err(Failure::Unsent) => Outcome::Refused,
        Ok(Commit::Invalid) => {
            log::error!("event=grants-invalid writes={}", writes.len());
            Outcome::Refused
        }
        Ok(Commit::Uncertain) | Err(Failure::Lost) => Outcome::Lost,
    }
}

/// Returns the outcome of a transaction as metrics name it.
fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::Conflict(_) => "conflict",
        Outcome::Refused => "refused",
        Outcome::Lost => "lost",
    }
}

fn stored_row(row: Row) -> StoredRow {
    StoredRow {
        account: row.key.key,
        version: row.version,
        value: (!row.is_removed && row.version > 0).then_some(row.value),
    }
}
