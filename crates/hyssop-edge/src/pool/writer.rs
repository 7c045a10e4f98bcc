use super::runner::answer;
use super::Runner;
use crate::peer::Answer;
use crate::store::{Committer, Verdict};
use hyssop_platform::rows::{Key, Transaction};
use hyssop_policy::owner::{Batch, Told};
use std::rc::Rc;
use std::time::Duration;

/// Changes that come within this time share a transaction: each call costs, and so does each
/// millisecond.
const WINDOW: Duration = Duration::from_millis(3);
/// Remembered jobs are looked through this often while nothing else is to be stored.
const IDLE: Duration = Duration::from_secs(1);

impl Runner {
    /// Stores what the owner changes, one transaction at a time.
    pub(super) async fn write(self: Rc<Self>, mut committer: Committer) {
        while !self.is_over() {
            // Both a change and the pause's end lead to the same look.
            let _ = tokio::time::timeout(IDLE, self.store_wake.notified()).await;
            if !self.owner.borrow().has_unstored() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(WINDOW).await;
            }
            loop {
                let now = self.node.clock.now();
                let Some(batch) = self.owner.borrow_mut().take_batch(now) else {
                    break;
                };
                let transaction = self.transaction(batch);
                self.unanswered_since.set(Some(now));
                let verdict = committer.commit(transaction, || false).await;
                self.unanswered_since.set(None);
                let lasted = self.node.clock.now().saturating_sub(now);
                let named = verdict.to_string();
                self.node.metrics.count_transaction(&named, lasted);
                if verdict != Verdict::Done {
                    self.depose("store");
                    return;
                }
                let now = self.node.clock.now();
                let told = self.owner.borrow_mut().committed(now);
                self.tell(told);
                self.wake.notify_one();
            }
        }
    }

    fn transaction(&self, batch: Batch) -> Transaction {
        let owner = self.owner.borrow();
        let part = owner.pool();
        Transaction {
            expected: Vec::new(),
            writes: batch
                .writes
                .into_iter()
                .map(|(table, key, value)| (Key::new(table, part, &key), value))
                .collect(),
            removes: batch
                .removes
                .into_iter()
                .map(|(table, key)| Key::new(table, part, &key))
                .collect(),
        }
    }

    fn tell(&self, told: Vec<Told>) {
        for told in told {
            let waiters = match told {
                Told::Accepted(id) => self.accepting.borrow_mut().remove(&id),
                Told::Cancelled(id) => self.cancelling.borrow_mut().remove(&id),
            };
            for waiter in waiters.into_iter().flatten() {
                answer(waiter, Answer::Done);
            }
        }
    }
}
