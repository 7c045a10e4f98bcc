use crate::peer::Answer;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot::{channel, Receiver, Sender};

/// The requests that wait for a job's change to be stored, by the job's identifier.
#[derive(Default)]
pub(super) struct Waiters {
    senders: RefCell<BTreeMap<String, Vec<Sender<Answer>>>>,
}

/// One waiting request, which is forgotten when it is dropped: on a timeout, or because its caller has
/// left.
struct Waiter<'a> {
    waiters: &'a Waiters,
    id: &'a str,
    receiver: Receiver<Answer>,
}

impl Waiters {
    /// Waits for the answer about a job; returns `None` on a timeout.
    pub(super) async fn wait(&self, id: &str, timeout: Duration) -> Option<Answer> {
        let mut waiter = self.register(id);
        tokio::time::timeout(timeout, &mut waiter.receiver)
            .await
            .ok()?
            .ok()
    }

    fn register<'a>(&'a self, id: &'a str) -> Waiter<'a> {
        let (sender, receiver) = channel();
        let mut senders = self.senders.borrow_mut();
        senders.entry(id.to_owned()).or_default().push(sender);
        Waiter {
            waiters: self,
            id,
            receiver,
        }
    }

    /// Answers all requests that wait for a job.
    pub(super) fn answer(&self, id: &str, answer: &Answer) {
        let senders = self.senders.borrow_mut().remove(id);
        for sender in senders.into_iter().flatten() {
            // The send fails if the request has timed out, and the answer is not needed then.
            let _ = sender.send(answer.clone());
        }
    }

    /// Answers all requests, each with the answer for its job.
    pub(super) fn answer_all(&self, mut answer: impl FnMut(&str) -> Answer) {
        let ids: Vec<String> = self.senders.borrow().keys().cloned().collect();
        for id in ids {
            self.answer(&id, &answer(&id));
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        let mut senders = self.waiters.senders.borrow_mut();
        if let Some(of_job) = senders.get_mut(self.id) {
            of_job.retain(|sender| !sender.is_closed());
            if of_job.is_empty() {
                senders.remove(self.id);
            }
        }
    }
}
