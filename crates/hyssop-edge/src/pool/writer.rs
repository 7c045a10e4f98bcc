use super::runner::answer;
use super::Runner;
use crate::peer::Answer;
use crate::store::{Committer, Verdict};
use hyssop_platform::rows::{Key, Transaction};
use hyssop_policy::owner::{Batch, Told};
use std::rc::Rc;
use std::time::Duration;

/// Changes within this window share a transaction. Each call to the store has a price, and each
/// millisecond of the window adds to the latency of submissions.
const WINDOW: Duration = Duration::from_millis(3);
/// How often finished jobs are checked for removal while there are no other changes to store.
const IDLE: Duration = Duration::from_secs(1);

impl Runner {
    /// Stores the scheduler's changes, one transaction at a time, until the term ends.
    pub(super) async fn write(self: Rc<Self>, mut committer: Committer) {
        while !self.is_over() {
            // Both a wake-up and the end of the interval lead to the same check.
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

    /// Converts a batch of the scheduler to a transaction of the pool's shard.
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
