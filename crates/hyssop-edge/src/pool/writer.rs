use super::Driver;
use crate::peer::Answer;
use crate::store::{Committer, Outcome};
use hyssop_platform::rows::{Key, Transaction};
use hyssop_policy::owner::{Batch, Notification};
use std::rc::Rc;
use std::time::Duration;

/// Changes within this window share a transaction. The platform charges for each call to the
/// store, and each millisecond of the window adds to the latency of submissions.
const BATCH_WINDOW: Duration = Duration::from_millis(3);
/// How often finished jobs are checked for removal while there are no other changes to store.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

impl Driver {
    /// Stores the scheduler's changes, one transaction at a time, until the term ends.
    pub(super) async fn write(self: Rc<Self>, mut committer: Committer) {
        while !self.is_over() {
            // Both a wake-up and the end of the interval lead to the same check.
            let _ = tokio::time::timeout(IDLE_INTERVAL, self.store_wake.notified()).await;
            if !self.scheduler.borrow().has_uncommitted() {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(BATCH_WINDOW).await;
            }
            loop {
                let now = self.node.clock.now();
                let Some(batch) = self.scheduler.borrow_mut().next_batch(now) else {
                    break;
                };
                let transaction = self.transaction(batch);
                self.unanswered_since.set(Some(now));
                let outcome = committer.commit(transaction, || false).await;
                self.unanswered_since.set(None);
                let elapsed = self.node.clock.now().saturating_sub(now);
                self.commit_time.set(elapsed);
                let label = outcome.to_string();
                self.node.metrics.count_transaction(&label, elapsed);
                if outcome != Outcome::Done {
                    self.depose("store");
                    return;
                }
                self.confirmed_at.set(committer.confirmed_at());
                let now = self.node.clock.now();
                let notifications = self.scheduler.borrow_mut().on_commit(now);
                self.notify(notifications);
                self.wake.notify_one();
            }
        }
    }

    /// Converts a batch of the scheduler to a transaction of the pool's shard.
    fn transaction(&self, batch: Batch) -> Transaction {
        let scheduler = self.scheduler.borrow();
        let shard = scheduler.pool();
        Transaction {
            expected: Vec::new(),
            writes: batch
                .writes
                .into_iter()
                .map(|(table, key, value)| (Key::new(table, shard, &key), value))
                .collect(),
            removes: batch
                .removes
                .into_iter()
                .map(|(table, key)| Key::new(table, shard, &key))
                .collect(),
        }
    }

    /// Answers the requests whose jobs or cancellations have been stored.
    fn notify(&self, notifications: Vec<Notification>) {
        for notification in notifications {
            match notification {
                Notification::Accepted(id) => self.accepting.answer(&id, &Answer::Done),
                Notification::Cancelled(id) => self.cancelling.answer(&id, &Answer::Done),
            }
        }
    }
}
