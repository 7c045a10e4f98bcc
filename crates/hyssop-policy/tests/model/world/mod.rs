use super::availability::Availability;
use super::configuration;
use super::invariants::Invariants;
use super::pools::Shared;
use super::presence::Presence;
use super::store::FakeStore;
use super::takeover::Takeover;
use super::worker::{FakeWorker, RunEvent};
use hyssop_model::work::{self, Configuration, Outcome, Phase, Report, Submission, Task};
use hyssop_platform::dialect::{Renewal, Start, StartOutcome};
use hyssop_policy::account::ledger::{self, StoredRow, Write};
use hyssop_policy::owner::{
    Action, Admission, Batch, Notification, Scheduler, Settings, StartResult, TaskKey, WorkerKey,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

mod planned;
mod quota;

pub use planned::PlannedStop;

/// The shares of calls that go wrong, 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls that take effect and are not answered.
    pub lost_answers: f64,
    /// Starts that are not answered and take effect 2 to 12 s later.
    pub delayed_starts: f64,
    /// Commits that reach the store after half a second.
    pub slow_commits: f64,
}

/// A pool with its owners, workers, store and callers.
pub struct World {
    pub now_ms: i64,
    pub faults: Faults,
    pub workers: Vec<FakeWorker>,
    pub invariants: Invariants,
    pub availability: Availability,
    pub presence: Presence,
    pub is_store_up: bool,
    /// Whether delayed starts are carried out by a worker's next incarnation too, once that has
    /// reported to an owner.
    pub late_starts_reach_next: bool,
    /// The time from sending a batch until the store commits it.
    pub commit_ms: i64,
    pool: String,
    configuration: Configuration,
    settings: Settings,
    /// What this pool shares with others, if accounts have quotas.
    shared: Option<Rc<RefCell<Shared>>>,
    rng: ChaCha8Rng,
    store: FakeStore,
    owners: Vec<OwnerProcess>,
    events: BTreeMap<(i64, u64), Event>,
    next_event: u64,
    accepted: BTreeSet<String>,
}

/// The process of one owner.
struct OwnerProcess {
    scheduler: Scheduler,
    is_paused: bool,
    is_cut_from_store: bool,
    /// Whether it has begun a planned stop.
    is_leaving: bool,
    /// Whether it has read the registry and follows it.
    follows_registry: bool,
    /// When it stops to start tasks and to extend leases, once another owner has taken over.
    authority_end_ms: Option<i64>,
    /// When it last ran and nobody had replaced it, which the store or its peers then confirm.
    confirmed_ms: i64,
    /// The version of the table with the grants up to which it has read that or is about to.
    grants_seen: Option<u64>,
    /// The version of its configuration.
    version: u64,
    /// The worker that it doesn't reach, and until when.
    cut_worker: Option<(String, i64)>,
}

enum Event {
    /// The last field is the worker incarnation that a delayed start was sent to, `None` if the
    /// start is not delayed.
    StartArrives(u64, WorkerKey, TaskKey, Start, Option<i64>),
    /// A delayed start is carried out by the present incarnation of a worker, if an owner has had the
    /// time to give that orders.
    LateStartArrives(u64, Start, bool),
    StartAnswered(u64, WorkerKey, TaskKey, u64, StartResult),
    StopArrives(u64, WorkerKey, String, u64, String),
    StopAnswered(u64, WorkerKey, String, u64, bool),
    RenewalArrives(u64, WorkerKey, Renewal, i64),
    /// The fleet's owner maintains a worker's instance: the worker's number and incarnation.
    MaintenanceArrives(usize, i64),
    /// The newest owner and the registry learn that a worker has ended, at the given time.
    TerminationNoticed(usize, String, i64),
    RenewalAnswered(u64, WorkerKey, Option<Option<Report>>, i64, u64),
    CommitArrives(u64, Batch),
    CommitAnswered(u64),
    /// The store receives a takeover that replaces the given term, and started at the given time.
    TakeoverArrives(Takeover, u64, i64),
    /// The process that took over starts the scheduler of its term. The times are those of the
    /// takeover's start and of its confirmation.
    SchedulerStarts(u64, Takeover, i64, i64),
    /// The owner of a term has read the registry.
    RegistryRead(u64),
    /// The registry lists a worker again.
    EntryReturns(usize),
    /// The registry removes the entry of a worker that has ended.
    EntryExpires(usize, i64),
    /// The owner of a term checks whether its changes are stored, until the given time.
    FlushChecked(u64, PlannedStop, i64),
    /// The store receives the release of a term with the row of its handover, and when it was written.
    ReleaseArrives(u64, PlannedStop, Option<Vec<u8>>, i64),
    /// The owner of a term learns of a configuration.
    Configured(u64, Configuration),
    /// The owner of a term learns of rows with grants; the last field is whether they are all.
    GrantsRead(u64, Vec<StoredRow>, bool),
    /// The store receives a write of grants; the last field is whether the owner waits for its answer.
    GrantsArrive(u64, Vec<Write>, bool),
    GrantsAnswered(u64, ledger::Outcome),
}

const CALL_TIMEOUT_MS: i64 = 500;
const HOP_MS: i64 = 2;
/// How long a new owner doesn't reach the worker that it is cut off from; longer than the leases
/// that an earlier owner has granted.
const CUT_MS: i64 = 9_000;
/// The time between attempts of calls to the store while it is down.
const STORE_RETRY_MS: i64 = 100;

impl World {
    pub fn new(seed: u64, workers: usize, cores: u64) -> Self {
        let mut world = Self::without_owner(seed, workers, cores);
        world.start_owner();
        world
    }

    fn without_owner(seed: u64, workers: usize, cores: u64) -> Self {
        Self {
            now_ms: 1_000,
            faults: Faults::default(),
            workers: (0..workers)
                .map(|number| FakeWorker::new(&format!("w{number}"), cores, 1_000))
                .collect(),
            invariants: Invariants::default(),
            availability: Availability::default(),
            presence: Presence::default(),
            is_store_up: true,
            late_starts_reach_next: false,
            commit_ms: 10,
            pool: "pool".to_owned(),
            configuration: configuration(None),
            settings: Settings::default(),
            shared: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: FakeStore::default(),
            owners: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            accepted: BTreeSet::new(),
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms as u64)
    }

    /// Prints what happens to the tasks whose names begin with the text in `HYSSOP_TRACE`.
    fn trace(&self, task: &str, text: impl FnOnce() -> String) {
        if std::env::var("HYSSOP_TRACE")
            .is_ok_and(|traced| task.is_empty() || task.starts_with(&traced))
        {
            println!("{} ms {} {task}: {}", self.now_ms, self.pool, text());
        }
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    pub fn pick(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Starts a new owner with the next term. The processes of previous owners go on until they are
    /// killed.
    pub fn start_owner(&mut self) {
        let now_ms = self.now_ms;
        self.store.begin_term();
        self.start_scheduler(self.store.term, Takeover::default(), now_ms, now_ms);
        self.read_registry(self.store.term);
    }

    /// Begins a takeover, after which a new owner starts with the next term.
    pub fn take_over(&mut self, takeover: Takeover) {
        let arrival = Event::TakeoverArrives(takeover, self.store.term, self.now_ms);
        self.schedule(takeover.commit_ms, arrival);
    }

    /// Starts the scheduler of `term`, unless a later term has begun meanwhile.
    fn start_scheduler(
        &mut self,
        term: u64,
        takeover: Takeover,
        started_ms: i64,
        confirmed_ms: i64,
    ) {
        if term != self.store.term {
            return;
        }
        self.trace("", || format!("term {term} begins: {takeover:?}"));
        let mut scheduler = Scheduler::new(&self.pool, term, self.settings);
        scheduler.configure(&self.configuration);
        let counted_from_ms = if takeover.counts_from_start {
            started_ms
        } else {
            confirmed_ms
        };
        let counted_from = Duration::from_millis(counted_from_ms as u64);
        let authority_end = counted_from + Settings::default().authority;
        scheduler.recover(
            &self.store.records(),
            authority_end,
            counted_from,
            self.now_ms,
        );
        self.accept_handover(&mut scheduler, takeover);
        let cut_worker = takeover.cut_worker.map(|number| {
            let id = self.workers[number].listing.id.clone();
            (id, self.now_ms + CUT_MS)
        });
        self.owners.push(OwnerProcess {
            scheduler,
            is_paused: false,
            is_cut_from_store: false,
            is_leaving: false,
            follows_registry: false,
            authority_end_ms: None,
            confirmed_ms: self.now_ms,
            grants_seen: None,
            version: self.configuration.version,
            cut_worker,
        });
    }

    /// Lets the owner of `term` read the registry.
    fn read_registry(&mut self, term: u64) {
        let now = self.now();
        let listings: Vec<work::Worker> = self
            .workers
            .iter()
            .filter(|worker| worker.is_listed)
            .map(|worker| worker.listing.clone())
            .collect();
        let Some(process) = self.process(term) else {
            return;
        };
        process.follows_registry = true;
        for listing in listings {
            process.scheduler.register_worker(listing, now);
        }
        process.scheduler.on_registry_snapshot(now);
    }

    /// Removes a worker's entry from the registry, or restores it.
    pub fn set_listed(&mut self, worker: usize, is_listed: bool) {
        self.workers[worker].is_listed = is_listed;
        if is_listed {
            self.register(worker);
            return;
        }
        let id = self.workers[worker].listing.id.clone();
        for process in self.owners.iter_mut().filter(|p| p.follows_registry) {
            process.scheduler.deregister_worker(&id);
        }
    }

    /// Removes a worker's entry from the registry for `ms` milliseconds.
    pub fn hide(&mut self, worker: usize, ms: i64) {
        self.set_listed(worker, false);
        self.schedule(ms, Event::EntryReturns(worker));
    }

    /// Returns the keys of the stored rows of workers, each an identifier and an incarnation.
    pub fn recorded_workers(&self) -> Vec<String> {
        let records = self.store.records().into_iter();
        let workers = records.filter(|record| record.table == "crew");
        workers.map(|record| record.key).collect()
    }

    /// Returns whether a scheduler of the newest term runs.
    pub fn has_owner(&self) -> bool {
        let newest = self.owners.last();
        newest.is_some_and(|process| {
            process.scheduler.term() == self.store.term && !process.is_leaving
        })
    }

    /// Kills the newest owner's process.
    pub fn kill_owner(&mut self) {
        self.owners.pop();
    }

    /// Pauses the newest owner's process, or lets all continue.
    pub fn pause_owner(&mut self, is_paused: bool) {
        if is_paused {
            if let Some(process) = self.owners.last_mut() {
                process.is_paused = true;
            }
        } else {
            self.owners
                .iter_mut()
                .for_each(|process| process.is_paused = false);
        }
    }

    /// Cuts the newest owner's process off from the store, or reconnects all owners.
    pub fn cut_owner_from_store(&mut self, is_cut: bool) {
        if is_cut {
            if let Some(process) = self.owners.last_mut() {
                process.is_cut_from_store = true;
            }
        } else {
            let reconnect = |process: &mut OwnerProcess| process.is_cut_from_store = false;
            self.owners.iter_mut().for_each(reconnect);
        }
    }

    fn newest_scheduler(&mut self) -> &mut Scheduler {
        &mut self.owners.last_mut().expect("an owner").scheduler
    }

    /// Notifies the owners of a changed registration of a worker.
    pub fn register(&mut self, worker: usize) {
        let listing = self.workers[worker].listing.clone();
        let now = self.now();
        if !self.workers[worker].is_listed {
            return;
        }
        for process in self.owners.iter_mut().filter(|p| p.follows_registry) {
            process.scheduler.register_worker(listing.clone(), now);
        }
    }

    /// Returns whether the newest owner has released a worker for disruption.
    pub fn is_released(&mut self, worker: usize) -> bool {
        let id = self.workers[worker].listing.id.clone();
        let now = self.now();
        let loads = self.newest_scheduler().demand(now).loads;
        loads
            .iter()
            .any(|load| load.worker == id && load.is_released_for_disruption)
    }

    /// Lets the fleet's owner maintain a released worker's instance `delay_ms` later.
    pub fn order_maintenance(&mut self, worker: usize, delay_ms: i64) {
        let incarnation = self.workers[worker].listing.incarnation;
        self.schedule(delay_ms, Event::MaintenanceArrives(worker, incarnation));
    }

    /// Ends a worker with all of its runs, as a crash does; its next incarnation joins at once.
    pub fn crash(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        for (task, _) in self.workers[worker].running() {
            self.availability.on_lost(task, now_ms);
            self.presence.on_end(task, now_ms);
        }
        self.workers[worker].restart(now_ms);
        self.register(worker);
    }

    /// Terminates a worker with all of its runs, as the maintenance of its instance does, and
    /// notifies the newest owner. The worker's next incarnation joins at once.
    pub fn perform_maintenance(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        let now = self.now();
        self.workers[worker].restart(now_ms);
        let id = self.workers[worker].listing.id.clone();
        self.newest_scheduler().on_worker_terminated(&id, now, now);
        self.register(worker);
    }

    pub fn submit(&mut self, id: &str, submission: Submission) -> Admission {
        self.invariants.on_submission(id, &submission);
        self.availability
            .on_submission(id, &submission, self.now_ms);
        self.presence.on_submission(id, &submission);
        let (now, wall_ms) = (self.now(), self.now_ms);
        self.newest_scheduler()
            .submit(id, "queue", submission, Duration::ZERO, now, wall_ms)
    }

    /// Withdraws a submission, as a process does when its caller stops waiting.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let is_withdrawn = self.newest_scheduler().withdraw(id);
        if is_withdrawn {
            self.invariants.on_withdrawal(id);
        }
        is_withdrawn
    }

    pub fn cancel(&mut self, id: &str) {
        let now = self.now();
        self.newest_scheduler().cancel(id, now);
    }

    pub fn phase(&mut self, id: &str) -> Option<Phase> {
        self.newest_scheduler().phase(id)
    }

    pub fn accepted(&self) -> Vec<String> {
        self.accepted.iter().cloned().collect()
    }

    pub fn scheduler(&mut self) -> &mut Scheduler {
        self.newest_scheduler()
    }

    fn schedule(&mut self, delay_ms: i64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.next_event), event);
    }

    /// Advances the time by `ms` milliseconds, in steps of 5 ms.
    pub fn run(&mut self, ms: i64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 5;
            self.advance_workers();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.advance_owners();
            self.follow_grants();
        }
    }

    fn advance_workers(&mut self) {
        for number in 0..self.workers.len() {
            let worker = &mut self.workers[number];
            if !worker.is_up {
                continue;
            }
            let incarnation = worker.listing.incarnation;
            let id = worker.listing.id.clone();
            let is_sound = worker.is_sound();
            let ended = worker.advance(self.now_ms);
            for task in worker.serving_tasks(self.now_ms) {
                self.availability.on_serving(task);
            }
            for event in ended {
                if let RunEvent::Ended(task, run, outcome, number) = event {
                    self.trace(&task, || {
                        format!("run {run} on {id} ended as {outcome}, completion {number}")
                    });
                    if outcome == Outcome::Stopped {
                        let named: Task = task.parse().expect("a task name");
                        let is_checked = is_sound && !self.invariants.is_cancelled(&named.job);
                        self.availability
                            .on_interrupted(&task, is_checked, self.now_ms);
                    } else {
                        self.availability.on_lost(&task, self.now_ms);
                    }
                    self.presence.on_end(&task, self.now_ms);
                    self.invariants.on_run_end(
                        (&id, incarnation),
                        &task,
                        outcome,
                        number,
                        self.now_ms,
                    );
                }
            }
        }
    }

    fn advance_owners(&mut self) {
        let (now, wall_ms) = (self.now(), self.now_ms);
        for number in 0..self.owners.len() {
            let process = &mut self.owners[number];
            if process.is_paused {
                continue;
            }
            let term = process.scheduler.term();
            if term == self.store.term {
                process.confirmed_ms = wall_ms;
            }
            let actions = process.scheduler.advance(now, wall_ms);
            let batch = process.scheduler.next_batch(now);
            let grants = process.scheduler.next_grant_writes(now);
            if let Some(writes) = grants {
                self.send_grants(term, writes);
            }
            for action in actions {
                self.send(term, action);
            }
            if let Some(batch) = batch {
                let slow = self.faults.slow_commits;
                let delay = if self.chance(slow) {
                    500
                } else {
                    self.commit_ms
                };
                self.schedule(delay, Event::CommitArrives(term, batch));
            }
        }
    }

    fn process(&mut self, term: u64) -> Option<&mut OwnerProcess> {
        self.owners
            .iter_mut()
            .find(|process| process.scheduler.term() == term)
    }

    fn send(&mut self, term: u64, action: Action) {
        self.trace("", || format!("term {term} sends {action:?}"));
        let (now, now_ms) = (self.now(), self.now_ms);
        let Some(process) = self.process(term) else {
            return;
        };
        let authority_ms = Settings::default().authority.as_millis() as i64;
        let has_authority = now_ms - process.confirmed_ms < authority_ms
            && process.authority_end_ms.is_none_or(|end| now_ms < end);
        match action {
            // The scheduler orders the start again while it has no answer.
            Action::Start { .. } if !has_authority => {}
            Action::Start { worker, task, run } => {
                if let Some(order) = process.scheduler.order(worker, task, run, now) {
                    self.presence.on_sent(&order.task);
                    let is_up = |worker: &FakeWorker| worker.is_up;
                    let found = self.workers.iter().find(|w| w.listing.id == order.worker);
                    if !found.is_some_and(is_up) {
                        let (task, id) = (&order.task, &order.worker);
                        self.presence.on_sent_to_ended(task, id, now_ms);
                    }
                    let delayed = self.faults.delayed_starts;
                    let is_delayed = self.chance(delayed);
                    if is_delayed {
                        let delay = self.pick(2_000..12_000) as i64;
                        let incarnation = self.find_reachable(&order.worker);
                        let incarnation =
                            incarnation.map(|number| self.workers[number].listing.incarnation);
                        let incarnation = Some(incarnation.unwrap_or(0));
                        let arrival = if self.late_starts_reach_next {
                            Event::LateStartArrives(term, order, false)
                        } else {
                            Event::StartArrives(term, worker, task, order, incarnation)
                        };
                        self.schedule(delay, arrival);
                        let answer =
                            Event::StartAnswered(term, worker, task, run, StartResult::Lost);
                        self.schedule(CALL_TIMEOUT_MS, answer);
                    } else {
                        let arrival = Event::StartArrives(term, worker, task, order, None);
                        self.schedule(HOP_MS, arrival);
                    }
                }
            }
            Action::Stop { worker, task, run } => {
                if let Some(state) = process.scheduler.worker(worker) {
                    let id = state.listing.id.clone();
                    self.schedule(HOP_MS, Event::StopArrives(term, worker, task, run, id));
                }
            }
            Action::Renew {
                worker,
                wait,
                extends,
            } => {
                let extends = extends && has_authority;
                if let Some(renewal) = process.scheduler.lease_renewal(worker, wait, extends, now) {
                    // Long polling is not modelled: the report arrives after a tenth of the wait.
                    let delay = HOP_MS + renewal.wait_ms as i64 / 10;
                    self.schedule(delay, Event::RenewalArrives(term, worker, renewal, now_ms));
                }
            }
            Action::Pace { .. } | Action::RequestAdvice { .. } => {}
        }
    }

    /// Returns the number of a worker that a call of `term` reaches. Calls of an owner arrive also
    /// after its process has ended.
    fn find_reachable_by(&mut self, term: u64, id: &str) -> Option<usize> {
        let now_ms = self.now_ms;
        let cut_worker = self.process(term).and_then(|p| p.cut_worker.as_ref());
        let is_cut = cut_worker.is_some_and(|(cut, until_ms)| cut == id && now_ms < *until_ms);
        self.find_reachable(id).filter(|_| !is_cut)
    }

    fn find_reachable(&mut self, id: &str) -> Option<usize> {
        self.workers
            .iter()
            .position(|worker| worker.listing.id == id && worker.is_up && worker.is_reachable)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::StartArrives(term, key, task, order, expected_incarnation) => {
                let run = order.run;
                let is_delayed = expected_incarnation.is_some();
                // A delayed start is lost when the worker restarts.
                let found = self
                    .find_reachable_by(term, &order.worker)
                    .filter(|number| {
                        let incarnation = self.workers[*number].listing.incarnation;
                        expected_incarnation
                            .is_none_or(|expected_incarnation| expected_incarnation == incarnation)
                    });
                let answer = found.map(|number| self.deliver_start(number, &order, is_delayed));
                if is_delayed {
                    return;
                }
                let lost = self.faults.lost_answers;
                let (delay, answer) = match answer {
                    Some(answer) if !self.chance(lost) => (HOP_MS, StartResult::Answered(answer)),
                    _ => (CALL_TIMEOUT_MS, StartResult::Lost),
                };
                self.schedule(delay, Event::StartAnswered(term, key, task, run, answer));
            }
            Event::LateStartArrives(term, order, is_settled) => {
                /// The time in which an owner that has heard an incarnation gives it orders.
                const ORDERS_MS: i64 = 500;
                const RETRY_MS: i64 = 100;
                let Some(number) = self.find_reachable_by(term, &order.worker) else {
                    return;
                };
                let is_heard = self.workers[number].has_reported();
                if is_heard && is_settled {
                    self.deliver_start(number, &order, true);
                } else {
                    let delay = if is_heard { ORDERS_MS } else { RETRY_MS };
                    self.schedule(delay, Event::LateStartArrives(term, order, is_heard));
                }
            }
            Event::StartAnswered(term, key, task, run, answer) => {
                self.trace("", || format!("{task:?} run {run} on {key:?}: {answer:?}"));
                if let Some(process) = self.process(term) {
                    process
                        .scheduler
                        .on_start_result(key, task, run, answer, now);
                }
            }
            Event::StopArrives(term, key, task, run, id) => {
                let found = self.find_reachable_by(term, &id);
                if let Some(number) = found {
                    self.workers[number].stop(&task, run, term, self.now_ms);
                }
                let lost = self.faults.lost_answers;
                let is_answered = found.is_some() && !self.chance(lost);
                let delay = if is_answered { HOP_MS } else { CALL_TIMEOUT_MS };
                self.schedule(
                    delay,
                    Event::StopAnswered(term, key, task, run, is_answered),
                );
            }
            Event::StopAnswered(term, key, task, run, is_answered) => {
                if let Some(process) = self.process(term) {
                    process
                        .scheduler
                        .on_stop_result(key, &task, run, is_answered, now);
                }
            }
            Event::RenewalArrives(term, key, renewal, sent_ms) => {
                let mut report_ms = 0;
                let report = match self.find_reachable_by(term, &renewal.worker) {
                    Some(number) => {
                        let worker = &mut self.workers[number];
                        report_ms = worker.report_ms;
                        let report = worker.renew(&renewal, self.now_ms);
                        let is_accepted = report.is_some();
                        let (id, incarnation) =
                            (worker.listing.id.clone(), worker.listing.incarnation);
                        let (acked, lease_expired_ms) =
                            (renewal.acknowledged, worker.lease_expired_ms);
                        self.trace("", || format!("{id} term {}: acked {acked}", renewal.fence));
                        if is_accepted {
                            self.invariants.on_acknowledged(
                                &id,
                                incarnation,
                                acked,
                                lease_expired_ms,
                            );
                        }
                        Some(report)
                    }
                    None => None,
                };
                let delay = if report.is_some() {
                    HOP_MS + report_ms
                } else {
                    600
                };
                let answer =
                    Event::RenewalAnswered(term, key, report, sent_ms, renewal.acknowledged);
                self.schedule(delay, answer);
            }
            Event::MaintenanceArrives(number, incarnation) => {
                let worker = &self.workers[number];
                if worker.listing.incarnation != incarnation || !worker.is_up {
                    return;
                }
                let is_sound = worker.is_sound();
                let (id, now_ms) = (worker.listing.id.clone(), self.now_ms);
                self.trace("", || format!("{id} is maintained"));
                for (task, _) in worker.running() {
                    self.availability.on_interrupted(task, is_sound, now_ms);
                    self.presence.on_end(task, now_ms);
                }
                self.workers[number].replace(now_ms);
                let delay = self.pick(50..500) as i64;
                self.schedule(delay, Event::TerminationNoticed(number, id, now_ms));
            }
            Event::TerminationNoticed(number, id, stopped_ms) => {
                let stopped_at = Duration::from_millis(stopped_ms as u64);
                if let Some(process) = self.owners.last_mut() {
                    process.scheduler.on_worker_terminated(&id, stopped_at, now);
                }
                self.register(number);
            }
            Event::RenewalAnswered(term, key, report, sent_ms, acked) => {
                let sent = Duration::from_millis(sent_ms as u64);
                let Some(process) = self.process(term) else {
                    return;
                };
                match report {
                    Some(Some(report)) => process.scheduler.receive(key, report, sent, acked, now),
                    Some(None) => process.scheduler.depose(),
                    None => process.scheduler.on_report_failure(key, now),
                }
            }
            Event::CommitArrives(term, batch) => {
                let is_cut = self
                    .process(term)
                    .is_none_or(|process| process.is_cut_from_store);
                if !self.is_store_up || is_cut {
                    self.schedule(100, Event::CommitArrives(term, batch));
                } else if self.store.commit(term, &batch) {
                    self.schedule(HOP_MS, Event::CommitAnswered(term));
                } else if let Some(process) = self.process(term) {
                    process.scheduler.depose();
                }
            }
            Event::TakeoverArrives(takeover, replaced, started_ms) => {
                if !self.is_store_up {
                    let arrival = Event::TakeoverArrives(takeover, replaced, started_ms);
                    self.schedule(STORE_RETRY_MS, arrival);
                    return;
                }
                if replaced != self.store.term {
                    return;
                }
                self.store.begin_term();
                let term = self.store.term;
                if takeover.passed_on > 0 {
                    self.pass_on(takeover);
                    return;
                }
                self.trace("", || format!("term {term} is committed: {takeover:?}"));
                let end_ms = self.now_ms + takeover.authority_ms;
                for process in &mut self.owners {
                    process.authority_end_ms.get_or_insert(end_ms);
                }
                let confirmed_ms = self.now_ms + HOP_MS;
                let start = Event::SchedulerStarts(term, takeover, started_ms, confirmed_ms);
                self.schedule(HOP_MS + takeover.read_ms, start);
            }
            Event::SchedulerStarts(term, takeover, started_ms, confirmed_ms) => {
                if !self.is_store_up {
                    let start = Event::SchedulerStarts(term, takeover, started_ms, confirmed_ms);
                    self.schedule(STORE_RETRY_MS, start);
                    return;
                }
                self.start_scheduler(term, takeover, started_ms, confirmed_ms);
                self.schedule(takeover.registry_ms, Event::RegistryRead(term));
            }
            Event::RegistryRead(term) => {
                if self.is_store_up {
                    self.read_registry(term);
                } else {
                    self.schedule(STORE_RETRY_MS, Event::RegistryRead(term));
                }
            }
            Event::EntryReturns(number) => self.set_listed(number, true),
            Event::EntryExpires(number, incarnation) => {
                if self.workers[number].listing.incarnation == incarnation {
                    self.set_listed(number, false);
                }
            }
            Event::Configured(term, configuration) => {
                let process = self.process(term);
                if let Some(process) = process.filter(|p| p.version < configuration.version) {
                    process.version = configuration.version;
                    process.scheduler.configure(&configuration);
                }
            }
            Event::GrantsRead(term, rows, is_complete) => {
                if let Some(process) = self.process(term) {
                    process.scheduler.on_grant_rows(rows, is_complete, now);
                }
            }
            Event::GrantsArrive(term, writes, is_awaited) => {
                self.commit_grants(term, writes, is_awaited);
            }
            Event::GrantsAnswered(term, outcome) => {
                if let Some(process) = self.process(term) {
                    process.scheduler.on_grant_outcome(outcome, now);
                }
            }
            Event::FlushChecked(term, stop, until_ms) => self.check_flush(term, stop, until_ms),
            Event::ReleaseArrives(term, stop, value, written_ms) => {
                self.release(term, stop, value, written_ms);
            }
            Event::CommitAnswered(term) => {
                let now_ms = self.now_ms;
                let Some(process) = self.process(term) else {
                    return;
                };
                for notification in process.scheduler.on_commit(now) {
                    match notification {
                        Notification::Accepted(id) => {
                            self.presence.on_accepted(&id);
                            self.accepted.insert(id);
                        }
                        Notification::Cancelled(id) => self.invariants.on_cancellation(&id, now_ms),
                    }
                }
            }
        }
    }

    fn deliver_start(&mut self, number: usize, order: &Start, is_delayed: bool) -> StartOutcome {
        let now_ms = self.now_ms;
        let (answer, event) = self.workers[number].start(order, now_ms);
        self.trace(&order.task, || {
            format!(
                "start of run {} on {} under {}, delayed {is_delayed}: {answer}",
                order.run, order.worker, order.fence
            )
        });
        if let Some(RunEvent::Started(task, _)) = event {
            assert!(
                !self.workers[number].is_over_capacity(),
                "{task} takes {} over its capacity at {now_ms} ms",
                order.worker
            );
            let runs_elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
                other != number && worker.is_up && worker.running().any(|(name, _)| *name == task)
            });
            self.presence.on_start(&task, now_ms);
            self.check_quota(&task, is_delayed);
            self.invariants
                .on_run_start(&task, runs_elsewhere, is_delayed, now_ms);
        }
        answer
    }

    /// Ends all faults and lets the pool finish the accepted jobs.
    ///
    /// # Panics
    ///
    /// Panics if an accepted job does not end, or is reported as done with tasks that are not.
    pub fn finish(&mut self) {
        self.end_faults();
        self.run(60_000);
        self.check_finished();
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.faults = Faults::default();
        self.is_store_up = true;
        for number in 0..self.workers.len() {
            let now_ms = self.now_ms;
            let worker = &mut self.workers[number];
            if !worker.is_up {
                worker.restart(now_ms);
            }
            worker.is_reachable = true;
            worker.fails_all = false;
            worker.hangs = false;
            worker.report_ms = 0;
            self.set_listed(number, true);
        }
        self.pause_owner(false);
        self.cut_owner_from_store(false);
    }

    /// # Panics
    ///
    /// Panics if an accepted job has not ended, or is reported as done with tasks that are not.
    pub fn check_finished(&mut self) {
        for id in self.accepted() {
            let phase = self.phase(&id);
            assert!(
                phase.is_some_and(Phase::is_final),
                "accepted job {id} has phase {phase:?} at the end"
            );
            if phase == Some(Phase::Done) {
                assert!(
                    self.invariants.is_done(&id),
                    "job {id} is reported as done with unfinished tasks"
                );
            }
        }
    }
}
