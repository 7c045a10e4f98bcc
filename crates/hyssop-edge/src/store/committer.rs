use super::Store;
use crate::http::Failure;
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::Display;

/// The table of head rows, which chain the transactions of each shard.
const HEAD_TABLE: &str = "head";
const HEAD_KEY: &str = "head";
/// The pause before the retry of a refused or lost transaction; doubles up to `RETRY_PAUSE_MAX`.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(320);

/// The row replaced by every transaction of a shard. Of two transactions with the same predecessor
/// only one takes effect, however late the other arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The owner's term.
    pub(crate) term: u64,
    /// The owner's process, distinct from earlier processes of the same node.
    pub(crate) process: String,
    /// The number of the transaction within the term.
    pub(crate) number: u64,
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Outcome {
    /// The transaction took effect exactly once.
    Done,
    /// Another owner has written, so this owner's term has ended.
    Deposed,
    /// The transaction never takes effect: the store refused it and it was abandoned.
    Refused,
}

/// Commits the transactions of one shard in sequence, under its owner's term.
pub(crate) struct Committer {
    store: Store,
    shard: String,
    head: Head,
    version: u64,
    /// When the last successful attempt was sent, as of which no other owner had written.
    confirmed_at: Duration,
}

impl Committer {
    /// Creates a committer that continues from the head row written by the failover, at its
    /// version.
    pub(crate) fn new(store: Store, shard: &str, head: Head, version: u64) -> Self {
        Self {
            store,
            shard: shard.to_owned(),
            head,
            version,
            confirmed_at: Duration::ZERO,
        }
    }

    /// Returns the store's version at the last transaction.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the latest time as of which a transaction has shown that the term had not ended.
    pub(crate) fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// Returns the key of a shard's head row.
    pub(crate) fn key(shard: &str) -> Key {
        Key::new(HEAD_TABLE, shard, HEAD_KEY)
    }

    /// Commits `transaction`, retrying until its outcome is certain.
    ///
    /// `gives_up` is evaluated between attempts, while none of them can have taken effect; if it
    /// returns true, the transaction is abandoned.
    pub(crate) async fn commit(
        &mut self,
        mut transaction: Transaction,
        gives_up: impl Fn() -> bool,
    ) -> Outcome {
        let next = Head {
            number: self.head.number + 1,
            ..self.head.clone()
        };
        let key = Self::key(&self.shard);
        transaction.writes.push((key.clone(), encode(&next)));
        let mut may_have_committed = false;
        let mut pause = RETRY_PAUSE;
        loop {
            transaction.expected = vec![(key.clone(), self.version)];
            let sent_at = self.store.clock.now();
            let outcome = tokio::select! {
                outcome = self.store.commit(&transaction) => outcome,
                // The call was sent during an outage and may hang long beyond its end. A retry
                // shows whether it took effect.
                () = self.store.recovered() => Err(Failure::Lost),
            };
            match outcome {
                Ok(Commit::Done(version)) => {
                    self.head = next;
                    self.version = version;
                    self.confirmed_at = sent_at;
                    return Outcome::Done;
                }
                Ok(Commit::Conflict(rows)) => match self.resolve(&rows, &next) {
                    Resolution::Done => {
                        self.confirmed_at = sent_at;
                        return Outcome::Done;
                    }
                    Resolution::Retry => continue,
                    Resolution::Deposed => return Outcome::Deposed,
                },
                Ok(Commit::Refused) | Err(Failure::Unsent) => {
                    if !may_have_committed && gives_up() {
                        return Outcome::Refused;
                    }
                }
                Ok(Commit::Invalid) => {
                    log::error!(
                        "event=transaction-invalid part={} writes={} removes={}",
                        self.shard,
                        transaction.writes.len(),
                        transaction.removes.len()
                    );
                    return Outcome::Deposed;
                }
                Ok(Commit::Uncertain) | Err(Failure::Lost) => may_have_committed = true,
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.store.recovered() => {}
            }
            pause = (pause * 2).min(RETRY_PAUSE_MAX);
        }
    }

    /// Determines from the current head row whether the transaction took effect.
    fn resolve(&mut self, rows: &[Row], next: &Head) -> Resolution {
        let Some(row) = rows.iter().find(|row| row.key.key == HEAD_KEY) else {
            return Resolution::Deposed;
        };
        let Ok(head) = ciborium::from_reader::<Head, _>(row.value.as_slice()) else {
            return Resolution::Deposed;
        };
        if head == *next {
            self.head = head;
            self.version = row.version;
            return Resolution::Done;
        }
        if head == self.head {
            // The store had returned a newer version than that of the row itself.
            self.version = row.version;
            return Resolution::Retry;
        }
        Resolution::Deposed
    }
}

/// The result of a conflict.
enum Resolution {
    Done,
    Retry,
    Deposed,
}
