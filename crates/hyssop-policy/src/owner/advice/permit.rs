use super::WorkerKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Tickets are not used this close to their expiry, because the start could arrive too late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// The same as a part of the validity, for tickets that are valid for a short time only.
const EXPIRY_MARGIN_PART: u32 = 4;
/// Tickets are tried for this long after their arrival even if the service seems to have issued them
/// long ago: it may have been slower than configured, and a worker rejects an expired ticket without
/// running the task. Enough for a placement and the order that follows.
const TRIAL_TIME: Duration = Duration::from_millis(200);

/// The answers of the advice service for one step.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Permit {
    /// Workers for which an answer is known. Whether a worker is suitable does not change.
    answered_workers: BTreeSet<WorkerKey>,
    /// Tickets and the times until which they are used, by worker.
    tickets: BTreeMap<WorkerKey, (String, Duration)>,
    /// Failed requests, and answers with tickets, since a task of the step last started.
    pub(super) fruitless_requests: u32,
    /// Whether the service has been asked about all workers that could run the step.
    pub(super) is_complete: bool,
}

impl Permit {
    /// Returns the ticket for `worker`, unless it has expired or is about to.
    pub(in crate::owner) fn ticket(&self, worker: WorkerKey, now: Duration) -> Option<&String> {
        self.tickets
            .get(&worker)
            .filter(|(_, usable_until)| now < *usable_until)
            .map(|(ticket, _)| ticket)
    }

    /// Returns whether the step waits for the service alone: it has no ticket to start with.
    pub(super) fn is_waiting(&self, now: Duration) -> bool {
        let is_usable = |(_, usable_until): &(String, Duration)| now < *usable_until;
        !self.is_complete && !self.tickets.values().any(is_usable)
    }

    /// Returns whether a request would tell something new about a worker: it has no known answer, or
    /// its ticket has expired.
    pub(super) fn lacks_answer(&self, worker: WorkerKey, now: Duration) -> bool {
        !self.answered_workers.contains(&worker)
            || (self.tickets.contains_key(&worker) && self.ticket(worker, now).is_none())
    }

    /// Returns whether the service has not given a ticket for a worker.
    pub(super) fn is_unsuitable(&self, worker: WorkerKey) -> bool {
        self.answered_workers.contains(&worker) && !self.tickets.contains_key(&worker)
    }

    /// Records an answer about `workers`: the tickets of those that are suitable, which were issued at
    /// `issued_at` at the earliest.
    pub(super) fn record(
        &mut self,
        workers: &[WorkerKey],
        tickets: Vec<(WorkerKey, String)>,
        issued_at: Duration,
        validity: Duration,
        now: Duration,
    ) {
        self.answered_workers.extend(workers);
        for worker in workers {
            self.tickets.remove(worker);
        }
        if !tickets.is_empty() {
            self.fruitless_requests = self.fruitless_requests.saturating_add(1);
        }
        let margin = EXPIRY_MARGIN.min(validity / EXPIRY_MARGIN_PART);
        let expires_at = issued_at.saturating_add(validity).saturating_sub(margin);
        let usable_until = expires_at.max(now + TRIAL_TIME.min(validity));
        for (worker, ticket) in tickets {
            self.tickets.insert(worker, (ticket, usable_until));
        }
    }

    /// Forgets the ticket of a worker that has rejected it.
    pub(super) fn discard(&mut self, worker: WorkerKey) {
        self.tickets.remove(&worker);
        self.answered_workers.remove(&worker);
    }
}
