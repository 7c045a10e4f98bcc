use super::Store;
use crate::http::Failure;
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::Display;

/// The table of the rows that chain a part's transactions.
const HEAD_TABLE: &str = "head";
const HEAD_KEY: &str = "head";
/// The pause before a refused or lost transaction is tried again; doubles up to the bound.
const PAUSE: Duration = Duration::from_millis(40);
const PAUSE_MAX: Duration = Duration::from_millis(320);

/// Is the row that every transaction of a part replaces, so that of two with the same
/// predecessor just one takes effect, however late it comes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The owner's term.
    pub(crate) term: u64,
    /// The owner's process, told apart from earlier ones of its node.
    pub(crate) process: String,
    /// The number of the transaction within the term.
    pub(crate) number: u64,
}

/// Says what became of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Verdict {
    /// It took effect, once.
    Done,
    /// Another owner has written; this one's term is over.
    Deposed,
    /// It certainly never takes effect: the store refused it and it was given up.
    Refused,
}

/// Commits transactions of one part, one after the other, under the owner's term.
pub(crate) struct Committer {
    store: Store,
    part: String,
    head: Head,
    version: u64,
}

impl Committer {
    /// Goes on from the head that the take-over wrote, at its version.
    pub(crate) fn new(store: Store, part: &str, head: Head, version: u64) -> Self {
        Self {
            store,
            part: part.to_owned(),
            head,
            version,
        }
    }

    /// Returns the key of a part's head row.
    pub(crate) fn key(part: &str) -> Key {
        Key::new(HEAD_TABLE, part, HEAD_KEY)
    }

    /// Commits `transaction`, trying until its outcome is certain.
    ///
    /// `gives_up` is asked between tries that have all been refused without effect.
    pub(crate) async fn commit(
        &mut self,
        mut transaction: Transaction,
        gives_up: impl Fn() -> bool,
    ) -> Verdict {
        let next = Head {
            number: self.head.number + 1,
            ..self.head.clone()
        };
        let key = Self::key(&self.part);
        transaction.writes.push((key.clone(), encode(&next)));
        let mut may_be_done = false;
        let mut pause = PAUSE;
        loop {
            transaction.expected = vec![(key.clone(), self.version)];
            let outcome = tokio::select! {
                outcome = self.store.commit(&transaction) => outcome,
                // The call was sent while the store was away and may hang long beyond that. Asking
                // anew finds out whether it took effect.
                () = self.store.regained() => Err(Failure::Lost),
            };
            match outcome {
                Ok(Commit::Done(version)) => {
                    self.head = next;
                    self.version = version;
                    return Verdict::Done;
                }
                Ok(Commit::Conflict(rows)) => match self.resolve(&rows, &next) {
                    Resolution::Done => return Verdict::Done,
                    Resolution::Retry => continue,
                    Resolution::Deposed => return Verdict::Deposed,
                },
                Ok(Commit::Refused) | Err(Failure::Unsent) => {
                    if !may_be_done && gives_up() {
                        return Verdict::Refused;
                    }
                }
                Ok(Commit::Invalid) => {
                    log::error!(
                        "event=transaction-invalid part={} writes={} removes={}",
                        self.part,
                        transaction.writes.len(),
                        transaction.removes.len()
                    );
                    return Verdict::Deposed;
                }
                Err(Failure::Lost) => may_be_done = true,
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.store.regained() => {}
            }
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// Finds out from the head as it stands what became of the transaction.
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
            // The version that the store named was newer than the row's own.
            self.version = row.version;
            return Resolution::Retry;
        }
        Resolution::Deposed
    }
}

enum Resolution {
    Done,
    Retry,
    Deposed,
}
