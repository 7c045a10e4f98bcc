//! Tickets of the advice service, without which the tasks of some queues can't start.

mod permit;
mod query;
mod requests;

pub(super) use permit::Permit;
pub use query::Query;
pub(super) use requests::Requests;

use super::admission::Admission;
use super::backlog::spread_wait;
use super::job::State;
use super::residual::free_cpu;
use super::{Action, Scheduler, TaskKey, Worker, WorkerKey};
use hyssop_model::work::{AdviceTime, Step, Submission};
use requests::{Unanswered, Urgency, Wanted};
use std::time::Duration;

/// Maximum number of workers in one request. The advice service takes some time for each.
const MAX_WORKERS_PER_REQUEST: usize = 20;
/// How much longer than configured an answer may take. The service may still be at work on an earlier
/// request that was given up, and answers one after another.
const ANSWER_SLACK: Duration = Duration::from_secs(2);
/// The timeout doubles with each failure up to this many times, so that a service that is slower than
/// configured is answered at last.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;

/// Returns the key of a task's step, which is that of the step's first task.
pub(super) fn step_of(task: TaskKey) -> TaskKey {
    TaskKey { index: 0, ..task }
}

/// Returns how many tasks with the needs of `step` the free capacity of a worker holds.
fn count_room(worker: &Worker, step: &Step) -> u64 {
    let need = step.reserved();
    let capacity = &worker.listing.capacity;
    let fits = |capacity: u64, used: u64, need: u64| {
        let free = capacity.saturating_sub(used);
        free.checked_div(need).unwrap_or(u64::MAX)
    };
    let room = fits(capacity.cpu, worker.used.cpu, need.cpu)
        .min(fits(capacity.memory, worker.used.memory, need.memory))
        .min(fits(
            capacity.accelerators,
            worker.used.accelerators,
            need.accelerators,
        ));
    match step.max_per_worker {
        0 => room,
        max => room.min(u64::from(max)),
    }
}

impl Scheduler {
    /// Returns whether the task's queue requires tickets.
    pub(super) fn needs_advice(&self, task: TaskKey) -> bool {
        self.advice_time(task).is_some()
    }

    /// Returns how long the advice service takes for requests about a task's queue, `None` if the queue
    /// requires no tickets.
    fn advice_time(&self, task: TaskKey) -> Option<AdviceTime> {
        let job = self.jobs.get(&task.job)?;
        self.rules.get(&job.queue)?.advice()
    }

    /// Returns whether a start that was not sent yet lacks a ticket that it needs.
    pub(super) fn lacks_ticket(&self, worker: WorkerKey, task: TaskKey, now: Duration) -> bool {
        let run = self.workers.get(&worker).and_then(|w| w.runs.get(&task));
        let is_sent = run.is_none_or(|run| run.sent_at.is_some());
        !is_sent && self.needs_advice(task) && self.ticket(worker, task, now).is_none()
    }

    /// Returns the ticket of a worker for a task, unless it has expired or is about to.
    pub(super) fn ticket(
        &self,
        worker: WorkerKey,
        task: TaskKey,
        now: Duration,
    ) -> Option<&String> {
        self.permits.get(&step_of(task))?.ticket(worker, now)
    }

    /// Begins a placement pass, in which the next request is chosen.
    pub(super) fn begin_advice_pass(&mut self) {
        self.advice.begin_pass();
    }

    /// Counts an accepted job among those that wait for the service, until the next placement pass.
    pub(super) fn count_job_for_advice(&mut self, queue: &str) {
        let rule = self.rules.get(queue);
        self.advice.new_jobs += usize::from(rule.is_some_and(|rule| rule.advice().is_some()));
    }

    /// Considers a request for a step of which `count` tasks wait for a ticket or for room, about the
    /// workers that could run it and have no known answer or an expired ticket.
    pub(super) fn consider_advice(
        &mut self,
        task: TaskKey,
        step: &Step,
        count: usize,
        now: Duration,
    ) {
        let key = step_of(task);
        let permit = self.permits.entry(key).or_default();
        self.advice.waiting_steps += usize::from(permit.is_waiting(now));
        let is_blocked = self.advice.unanswered.is_some() || now < self.advice.retry_at;
        if is_blocked || !self.advice.is_more_urgent(Urgency::HIGHEST) {
            return;
        }
        let mut room = 0_u64;
        let mut candidates: Vec<(u64, u64, WorkerKey)> = Vec::new();
        for (key, worker) in &self.workers {
            if !worker.accepts_tasks(now) || !worker.could_run(step) || permit.is_unsuitable(*key) {
                continue;
            }
            let room_here = match worker.has_room_for_start() {
                true => count_room(worker, step),
                false => 0,
            };
            let lacks_answer = permit.lacks_answer(*key, now);
            if lacks_answer {
                candidates.push((room_here.min(1), free_cpu(worker), *key));
            }
            // The members of a gang start together, the other tasks one by one.
            if step.gang || lacks_answer {
                room = room.saturating_add(room_here);
            }
        }
        permit.is_complete = candidates.is_empty();
        if permit.is_complete {
            return;
        }
        let wanted_room = if step.gang { count as u64 } else { 1 };
        let urgency = Urgency {
            lacks_room: room < wanted_room,
            fruitless_requests: permit.fruitless_requests,
        };
        if !self.advice.is_more_urgent(urgency) {
            return;
        }
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates.truncate(MAX_WORKERS_PER_REQUEST);
        self.advice.next = Some(Wanted {
            urgency,
            step: key,
            workers: candidates.into_iter().map(|(.., key)| key).collect(),
        });
    }

    /// Orders the most urgent request of a placement pass to be sent.
    pub(super) fn request_advice(&mut self) {
        let Some(Wanted { step, workers, .. }) = self.advice.next.take() else {
            return;
        };
        self.advice.unanswered = Some(Unanswered {
            step,
            workers: Vec::new(),
            sent_at: Duration::ZERO,
            service_time: Duration::ZERO,
        });
        self.actions.push(Action::RequestAdvice { step, workers });
    }

    /// Builds a request to the advice service and records that it is sent at `now`; returns `None` if
    /// it is not needed any more.
    ///
    /// The age of tickets counts from `now`, so the request must not wait any longer.
    pub fn advice_query(
        &mut self,
        step: TaskKey,
        workers: &[WorkerKey],
        now: Duration,
    ) -> Option<Query> {
        let time = self.advice_time(step)?;
        let job = self.jobs.get(&step.job)?;
        let stage = job.stage(step.occurrence, step.step)?;
        let is_waiting = stage.tasks.iter().any(|task| task.state == State::Waiting);
        if job.phase.is_final() || !is_waiting {
            return None;
        }
        let name = format!("{}.{}.{}", job.id, step.occurrence, step.step);
        let id_of = |key: &WorkerKey| {
            let worker = self.workers.get(key)?;
            let accepts_tasks = worker.accepts_tasks(now);
            accepts_tasks.then(|| (*key, worker.listing.id.clone()))
        };
        let (workers, ids): (Vec<WorkerKey>, Vec<String>) =
            workers.iter().filter_map(id_of).unzip();
        let requests = &mut self.advice;
        let unanswered = requests.unanswered.as_mut();
        let unanswered = unanswered.filter(|unanswered| unanswered.step == step)?;
        if ids.is_empty() {
            return None;
        }
        let service_time = time.of_request(ids.len());
        unanswered.workers = workers;
        unanswered.sent_at = now;
        unanswered.service_time = service_time;
        let doublings = requests.failures.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = service_time.saturating_mul(2).saturating_add(ANSWER_SLACK);
        Some(Query {
            step: name,
            workers: ids,
            timeout: timeout.saturating_mul(1 << doublings),
        })
    }

    /// Handles the end of a request for which [`Self::advice_query`] returned nothing.
    pub fn on_advice_not_needed(&mut self, step: TaskKey) {
        let unanswered = self.advice.unanswered.as_ref();
        if unanswered.is_some_and(|unanswered| unanswered.step == step) {
            self.advice.unanswered = None;
            self.is_placement_due = true;
        }
    }

    /// Handles the answer of the advice service: the tickets of suitable workers by identifier, and
    /// their validity. `None` means that the request failed.
    pub fn on_advice(
        &mut self,
        step: TaskKey,
        answer: Option<(Vec<(String, String)>, Duration)>,
        now: Duration,
    ) {
        let unanswered = self.advice.unanswered.take();
        let Some(unanswered) = unanswered.filter(|unanswered| unanswered.step == step) else {
            return;
        };
        self.is_placement_due = true;
        let permit = self.permits.get_mut(&step);
        let Some((suitable, validity)) = answer else {
            self.advice.on_failure(now);
            if let Some(permit) = permit {
                permit.fruitless_requests = permit.fruitless_requests.saturating_add(1);
            }
            return;
        };
        let sent_at = unanswered.sent_at;
        self.advice.on_answer(sent_at, now);
        // The job may have ended meanwhile.
        let Some(permit) = permit else {
            return;
        };
        let mut tickets: Vec<(WorkerKey, String)> = Vec::new();
        for key in &unanswered.workers {
            let id = self.workers.get(key).map(|worker| &worker.listing.id);
            let ticket = suitable.iter().find(|(ticket_id, _)| Some(ticket_id) == id);
            if let Some((_, ticket)) = ticket {
                tickets.push((*key, ticket.clone()));
            }
        }
        // The service can't have issued them sooner than it is configured to.
        let issued_at = sent_at.saturating_add(unanswered.service_time).min(now);
        permit.record(&unanswered.workers, tickets, issued_at, validity, now);
    }

    /// Discards a ticket that a worker rejected.
    pub(super) fn discard_ticket(&mut self, task: TaskKey, worker: WorkerKey) {
        if let Some(permit) = self.permits.get_mut(&step_of(task)) {
            permit.discard(worker);
        }
    }

    /// Records that a task has started, for which its step's ticket was of use.
    pub(super) fn on_ticket_used(&mut self, task: TaskKey) {
        if let Some(permit) = self.permits.get_mut(&step_of(task)) {
            permit.fruitless_requests = 0;
        }
    }

    /// Returns the refusal of a job that would wait for the advice service for longer than a start may
    /// be delayed, `None` if it may be accepted.
    ///
    /// The load is more steps than the service can answer: jobs beyond that would wait ever longer
    /// beside idle workers.
    pub(super) fn advice_refusal(
        &mut self,
        id: &str,
        queue: &str,
        submission: &Submission,
        now: Duration,
    ) -> Option<Admission> {
        let time = self.rules.get(queue)?.advice()?;
        if submission.is_long_running() || submission.schedule.is_some() {
            return None;
        }
        let steps = self.advice.waiting_steps + self.advice.new_jobs;
        let each = self.advice.answer_time.unwrap_or_else(|| {
            let count = self.workers.len().min(MAX_WORKERS_PER_REQUEST);
            time.of_request(count)
        });
        let wait = each.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX));
        let excess = wait.checked_sub(self.settings.max_start_delay)?;
        if let Some(refused) = self.advice.count_refusal(now) {
            log::warn!(
                "event=advice-backlog pool={} queue={queue} steps={steps} refused={refused} wait_ms={}",
                self.pool,
                wait.as_millis()
            );
        }
        let reason = format!(
            "{steps} steps wait for the advice service, {} ms; the job has not run",
            wait.as_millis()
        );
        Some(Admission::Deferred(reason, spread_wait(id, excess)))
    }
}
