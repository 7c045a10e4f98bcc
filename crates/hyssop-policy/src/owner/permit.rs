use super::{Action, Owner, TaskKey, WorkerKey};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most workers that one call names: each takes the advice service its time.
const ASKED_AT_ONCE: usize = 20;
/// The pause before a call that failed, or that the service had no room for, is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Tickets are not used for the last part of their life, in which a start could come too late.
const MARGIN: Duration = Duration::from_millis(150);

/// Holds what the advice service has said about one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Permit {
    /// Workers whose answers are known; which are good does not change.
    asked: BTreeSet<WorkerKey>,
    tickets: BTreeMap<WorkerKey, (String, Duration)>,
    is_asking: bool,
    asked_at: Duration,
}

impl Permit {
    pub(super) fn ticket(&self, worker: WorkerKey, now: Duration) -> Option<&String> {
        self.tickets
            .get(&worker)
            .filter(|(_, until)| now + MARGIN < *until)
            .map(|(ticket, _)| ticket)
    }
}

/// Names a task's step, which a permit is for.
pub(super) fn step_of(task: TaskKey) -> TaskKey {
    TaskKey { index: 0, ..task }
}

impl Owner {
    /// Tells whether the tasks of a job's queue need tickets.
    pub(super) fn needs_advice(&self, task: TaskKey) -> bool {
        self.jobs
            .get(&task.job)
            .and_then(|job| self.rules.get(&job.queue))
            .is_some_and(|rule| rule.needs_advice)
    }

    /// Asks for advice on workers that could run a step and that nothing is known about yet, those
    /// with the most room first; tickets that have run out are asked for anew.
    pub(super) fn seek_advice(&mut self, task: TaskKey, now: Duration) {
        let step = step_of(task);
        let permit = self.permits.entry(step).or_default();
        if permit.is_asking || now < permit.asked_at {
            return;
        }
        let lapsed = |key: &WorkerKey| {
            permit.tickets.contains_key(key) && permit.ticket(*key, now).is_none()
        };
        let mut rooms: Vec<(u64, WorkerKey)> = self
            .workers
            .iter()
            .filter(|(key, worker)| {
                worker.takes_tasks(now) && (!permit.asked.contains(key) || lapsed(key))
            })
            .map(|(key, worker)| (worker.listing.capacity.cpu - worker.used.cpu, *key))
            .collect();
        rooms.sort_unstable_by(|a, b| b.cmp(a));
        let workers: Vec<WorkerKey> = rooms
            .into_iter()
            .take(ASKED_AT_ONCE)
            .map(|(_, key)| key)
            .collect();
        if workers.is_empty() {
            return;
        }
        permit.is_asking = true;
        self.actions.push(Action::Advise { step, workers });
    }

    /// Returns a step's name and the identifiers of the workers to ask about.
    pub fn advice(&self, step: TaskKey, workers: &[WorkerKey]) -> Option<(String, Vec<String>)> {
        let job = self.jobs.get(&step.job)?;
        let name = format!("{}.{}.{}", job.id, step.occurrence, step.step);
        let ids = workers
            .iter()
            .filter_map(|key| Some(self.workers.get(key)?.listing.id.clone()))
            .collect();
        Some((name, ids))
    }

    /// Takes the service's answer: the good workers' tickets and how long they are valid; `None`
    /// where it gave none.
    pub fn advised(
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
        permit.is_asking = false;
        let Some((good, valid)) = answer else {
            permit.asked_at = now + RETRY_PAUSE;
            return;
        };
        permit.asked.extend(workers);
        for key in workers {
            permit.tickets.remove(key);
            let id = self.workers.get(key).map(|worker| &worker.listing.id);
            let ticket = good.iter().find(|(named, _)| Some(named) == id);
            if let Some((_, ticket)) = ticket {
                let entry = (ticket.clone(), sent_at + valid);
                permit.tickets.insert(*key, entry);
            }
        }
        self.is_placing_due = true;
    }

    /// Forgets a ticket that a worker did not take.
    pub(super) fn drop_ticket(&mut self, task: TaskKey, worker: WorkerKey) {
        if let Some(permit) = self.permits.get_mut(&step_of(task)) {
            permit.tickets.remove(&worker);
            permit.asked.remove(&worker);
        }
    }
}
