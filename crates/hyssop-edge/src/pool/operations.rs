use super::waiters::Waiters;
use super::Driver;
use crate::peer::{Answer, Operation};
use hyssop_model::work::Submission;
use hyssop_policy::owner::{
    retry_after, Admission, Cancellation, Recall, StorePace, IDENTIFIER_IN_USE,
};
use std::time::Duration;

/// New jobs are refused at once while a transaction has been unanswered for longer than this: the
/// store is down, or too slow for callers to wait.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(700);

/// The reason of a denial for logs and metrics.
const OTHER_ACCOUNT: &str = "other-account";

/// Workers reported as due for maintenance count as such for this long, several times the interval
/// at which the fleet's owner reports them.
const MAINTENANCE_DUE_TTL: Duration = Duration::from_secs(5);

impl Driver {
    /// Performs an operation on this pool.
    pub(crate) async fn perform(&self, operation: Operation) -> Answer {
        if self.is_over() || self.scheduler.borrow().is_deposed() {
            return Answer::NotOwner;
        }
        match operation {
            Operation::Submit {
                queue,
                id,
                age_ms,
                patience_ms: timeout_ms,
                submission,
                rule,
                address,
                version,
                ..
            } => {
                if self.is_leaving.get() {
                    return Answer::NotOwner;
                }
                if self.scheduler.borrow().is_barred(&id, version) {
                    log::info!("event=submission-reassigned job={id} version={version}");
                    return Answer::Reassigned;
                }
                if let Some(address) = address {
                    self.scheduler.borrow_mut().learn_address(&queue, address);
                }
                if let Some(rule) = rule {
                    self.scheduler.borrow_mut().learn_rule(&queue, rule);
                }
                let now = self.node.clock.now();
                let age = Duration::from_millis(age_ms);
                // A job that was sent to the store may be stored, whether or not a caller still waits.
                let is_new = !self.scheduler.borrow().has_job(&id);
                if is_new {
                    let refusal = self.store_refusal(&queue, &id, &submission, age);
                    if let Some(refusal) = refusal {
                        return refusal;
                    }
                }
                let wall_ms = self.node.clock.wall_ms();
                let limits = self.node.job_limits(self.scheduler.borrow().pool());
                let admission = {
                    let scheduler = &mut *self.scheduler.borrow_mut();
                    scheduler.limit_backlog(limits);
                    scheduler.submit(&id, &queue, submission, age, now, wall_ms)
                };
                match admission {
                    Admission::Accepted => Answer::Done,
                    Admission::Refused(reason) => Answer::Refused(reason, 0),
                    Admission::Deferred(reason, wait) => {
                        Answer::Refused(reason, wait.as_millis() as u64)
                    }
                    Admission::Pending => self.await_acceptance(&id, timeout_ms).await,
                }
            }
            // The successor would not know that it must not accept the job.
            Operation::Recall { .. } if self.is_leaving.get() || !self.has_authority() => {
                Answer::NotOwner
            }
            Operation::Recall { id, account, .. } if !self.is_visible(&id, &account) => {
                Answer::Refused(IDENTIFIER_IN_USE.to_owned(), 0)
            }
            Operation::Recall {
                id,
                version,
                patience_ms: timeout_ms,
                ..
            } => {
                let now = self.node.clock.now();
                let recall = self.scheduler.borrow_mut().recall(&id, version, now);
                log::info!("event=recall job={id} version={version} outcome={recall}");
                match recall {
                    Recall::Accepted => Answer::Done,
                    Recall::Unknown => Answer::Unknown,
                    Recall::Pending => {
                        let stored = self.await_storing(&self.accepting, &id, timeout_ms);
                        stored.await.unwrap_or(Answer::Uncertain)
                    }
                }
            }
            Operation::Phase { id, account, .. } | Operation::Cancel { id, account, .. }
                if !self.is_visible(&id, &account) =>
            {
                let denials = &self.node.metrics.denials;
                denials.record(OTHER_ACCOUNT, self.node.clock.now(), || {
                    format!("job={id} account={:?}", account.unwrap_or_default())
                });
                self.unknown_job()
            }
            Operation::Phase { id, .. } => match self.scheduler.borrow().phase(&id) {
                Some(phase) => Answer::Phase(phase),
                None => self.unknown_job(),
            },
            Operation::Cancel {
                id,
                patience_ms: timeout_ms,
                ..
            } => {
                let now = self.node.clock.now();
                let cancellation = self.scheduler.borrow_mut().cancel(&id, now);
                match cancellation {
                    Cancellation::Done => Answer::Done,
                    Cancellation::Unknown => self.unknown_job(),
                    Cancellation::Pending => {
                        let stored = self.await_storing(&self.cancelling, &id, timeout_ms);
                        stored.await.unwrap_or(Answer::Uncertain)
                    }
                }
            }
            Operation::Waiting { .. } | Operation::Demand { .. } if !self.has_authority() => {
                Answer::NotOwner
            }
            Operation::Waiting { queue, .. } => {
                Answer::Waiting(self.scheduler.borrow().waiting(&queue))
            }
            Operation::Demand { .. } => {
                let now = self.node.clock.now();
                self.node.fleet_seen_at.set(now);
                Answer::Demand(self.scheduler.borrow().demand(now))
            }
            // The successor would not learn of it.
            Operation::WorkersStopped { .. } if self.is_leaving.get() => Answer::NotOwner,
            Operation::WorkersStopped {
                workers,
                incarnations,
                age_ms,
                ..
            } => {
                let now = self.node.clock.now();
                let stopped_at = now.saturating_sub(Duration::from_millis(age_ms));
                let scheduler = &mut *self.scheduler.borrow_mut();
                let known = incarnations.into_iter().chain(std::iter::repeat(None));
                for (id, incarnation) in workers.iter().zip(known) {
                    match incarnation {
                        Some(known) => scheduler.on_incarnation_terminated(id, known, now),
                        None => scheduler.on_worker_terminated(id, stopped_at, now),
                    }
                }
                self.wake.notify_one();
                Answer::Done
            }
            Operation::MaintenanceDue { workers, .. } => {
                let until = self.node.clock.now() + MAINTENANCE_DUE_TTL;
                self.scheduler
                    .borrow_mut()
                    .set_maintenance_due(&workers, until);
                Answer::Done
            }
            Operation::Evacuate {
                workers,
                for_ms: duration_ms,
                ..
            } => {
                let until = self.node.clock.now() + Duration::from_millis(duration_ms);
                let scheduler = &mut *self.scheduler.borrow_mut();
                for id in scheduler.registered_workers() {
                    if workers.contains(&id) {
                        scheduler.evacuate(&id, until);
                    } else {
                        scheduler.cancel_evacuation(&id);
                    }
                }
                self.wake.notify_one();
                Answer::Done
            }
            Operation::Inquire(_) => Answer::NotOwner,
        }
    }

    /// Returns whether a caller of an account may see a job.
    fn is_visible(&self, id: &str, account: &Option<String>) -> bool {
        self.scheduler.borrow().is_visible(id, account.as_deref())
    }

    /// Returns the answer about a job that this owner does not know; its successor may have accepted
    /// it.
    fn unknown_job(&self) -> Answer {
        if self.has_authority() {
            Answer::Unknown
        } else {
            Answer::NotOwner
        }
    }

    /// Waits until a job is stored, and withdraws it on a timeout if possible.
    async fn await_acceptance(&self, id: &str, timeout_ms: u64) -> Answer {
        match self.await_storing(&self.accepting, id, timeout_ms).await {
            Some(answer) => answer,
            // A job that has not been sent to the store can still be refused with certainty.
            None if self.scheduler.borrow_mut().withdraw(id) => self.refuse(id),
            None => Answer::Uncertain,
        }
    }

    /// Waits until a job's change is stored; returns `None` on a timeout.
    async fn await_storing(&self, waiters: &Waiters, id: &str, timeout_ms: u64) -> Option<Answer> {
        self.store_wake.notify_one();
        waiters.wait(id, Duration::from_millis(timeout_ms)).await
    }

    /// Returns how long the transaction in flight has been unanswered.
    fn outage(&self) -> Duration {
        let now = self.node.clock.now();
        self.unanswered_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns a refusal if the store does not respond, or is so slow that the job's result would
    /// come too late.
    fn store_refusal(
        &self,
        queue: &str,
        id: &str,
        submission: &Submission,
        age: Duration,
    ) -> Option<Answer> {
        let elapsed = self.outage();
        if elapsed >= STORE_OUTAGE_LIMIT {
            return Some(self.refuse(id));
        }
        let pace = StorePace {
            commit_time: self.commit_time.get().max(elapsed),
            elapsed,
        };
        let scheduler = self.scheduler.borrow();
        let wait = scheduler.excessive_store_wait(queue, submission, age, pace)?;
        let after = retry_after(wait, id);
        let reason = format!(
            "the store is slow and {} ms behind; the job has not run",
            wait.as_millis()
        );
        Some(Answer::Refused(reason, after.as_millis() as u64))
    }

    /// Refuses a job because of the store, with a delay for the caller's retry.
    fn refuse(&self, id: &str) -> Answer {
        let after = retry_after(self.outage(), id);
        let reason = "the store is not responding; the job has not run";
        Answer::Refused(reason.to_owned(), after.as_millis() as u64)
    }
}
