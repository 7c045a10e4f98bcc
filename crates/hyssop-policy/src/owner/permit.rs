use super::residual::free_cpu;
use super::{Action, Scheduler, TaskKey, WorkerKey};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of workers in one request. The advice service takes some time for each.
const MAX_WORKERS_PER_REQUEST: usize = 20;
/// Delay before a failed request is repeated, for example after the service was too busy.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Tickets are not used this close to their expiry, because the start could arrive too late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// The answers of the advice service for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Permit {
    /// Workers for which an answer is known. Whether a worker is suitable does not change.
    answered_workers: BTreeSet<WorkerKey>,
    /// Tickets and their expiry times, by worker.
    tickets: BTreeMap<WorkerKey, (String, Duration)>,
    is_requesting: bool,
    /// Earliest time of the next request.
    retry_at: Duration,
}

impl Permit {
    /// Returns the ticket for `worker`, unless it has expired or is about to.
    pub(super) fn ticket(&self, worker: WorkerKey, now: Duration) -> Option<&String> {
        self.tickets
            .get(&worker)
            .filter(|(_, expires_at)| now + EXPIRY_MARGIN < *expires_at)
            .map(|(ticket, _)| ticket)
    }
}

/// Returns the key of a task's step, which is that of the step's first task.
pub(super) fn step_of(task: TaskKey) -> TaskKey {
    TaskKey { index: 0, ..task }
}

impl Scheduler {
    /// Returns whether the task's queue requires tickets.
    pub(super) fn needs_advice(&self, task: TaskKey) -> bool {
        self.jobs
            .get(&task.job)
            .and_then(|job| self.rules.get(&job.queue))
            .is_some_and(|rule| rule.needs_advice)
    }

    /// Requests advice on the workers that could run a step and have no known answer or an expired
    /// ticket, those with the most free capacity first.
    pub(super) fn request_advice(&mut self, task: TaskKey, now: Duration) {
        let step = step_of(task);
        let permit = self.permits.entry(step).or_default();
        if permit.is_requesting || now < permit.retry_at {
            return;
        }
        let is_expired = |key: &WorkerKey| {
            permit.tickets.contains_key(key) && permit.ticket(*key, now).is_none()
        };
        let mut candidates: Vec<(u64, WorkerKey)> = self
            .workers
            .iter()
            .filter(|(key, worker)| {
                worker.accepts_tasks(now)
                    && (!permit.answered_workers.contains(key) || is_expired(key))
            })
            .map(|(key, worker)| (free_cpu(worker), *key))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let workers: Vec<WorkerKey> = candidates
            .into_iter()
            .take(MAX_WORKERS_PER_REQUEST)
            .map(|(_, key)| key)
            .collect();
        if workers.is_empty() {
            return;
        }
        permit.is_requesting = true;
        self.actions.push(Action::RequestAdvice { step, workers });
    }

    /// Returns the contents of a request to the advice service: the name of the step and the
    /// identifiers of the workers.
    pub fn query_for(&self, step: TaskKey, keys: &[WorkerKey]) -> Option<(String, Vec<String>)> {
        let job = self.jobs.get(&step.job)?;
        let name = format!("{}.{}.{}", job.id, step.occurrence, step.step);
        let ids = keys
            .iter()
            .filter_map(|key| Some(self.workers.get(key)?.listing.id.clone()))
            .collect();
        Some((name, ids))
    }

    /// Handles the answer of the advice service: the tickets of suitable workers by identifier, and
    /// their validity. `None` means that the request failed.
    pub fn on_advice(
        &mut self,
        step: TaskKey,
        workers: &[WorkerKey],
        answer: Option<(Vec<(String, String)>, Duration)>,
        sent_at: Duration,
        now: Duration,
    ) {
        let Some(permit) = self.permits.get_mut(&step) else {
            return;
        };
        permit.is_requesting = false;
        let Some((suitable, validity)) = answer else {
            permit.retry_at = now + RETRY_DELAY;
            return;
        };
        permit.answered_workers.extend(workers);
        for key in workers {
            permit.tickets.remove(key);
            let id = self.workers.get(key).map(|worker| &worker.listing.id);
            let ticket = suitable.iter().find(|(ticket_id, _)| Some(ticket_id) == id);
            if let Some((_, ticket)) = ticket {
                let entry = (ticket.clone(), sent_at + validity);
                permit.tickets.insert(*key, entry);
            }
        }
        self.is_placement_due = true;
    }

    /// Discards a ticket that a worker rejected.
    pub(super) fn discard_ticket(&mut self, task: TaskKey, worker: WorkerKey) {
        if let Some(permit) = self.permits.get_mut(&step_of(task)) {
            permit.tickets.remove(&worker);
            permit.answered_workers.remove(&worker);
        }
    }
}
