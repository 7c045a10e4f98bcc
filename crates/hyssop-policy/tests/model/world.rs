use super::configuration;
use super::promises::Promises;
use super::store::FakeStore;
use super::worker::{FakeWorker, Happening};
use hyssop_model::work::{Phase, Report, Submission};
use hyssop_platform::dialect::{Renewal, Start, StartOutcome};
use hyssop_policy::owner::{
    Action, Admission, Batch, Notification, Scheduler, Settings, StartResult, TaskKey, WorkerKey,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Says how often calls go wrong, as shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Orders that are carried out and not answered.
    pub lost_answers: f64,
    /// Orders that are not answered and carried out 2 to 12 s later.
    pub late_orders: f64,
    /// Commits whose answers take half a second.
    pub slow_commits: f64,
}

/// Is the pool with all around it.
pub struct World {
    pub now_ms: i64,
    pub faults: Faults,
    pub workers: Vec<FakeWorker>,
    pub promises: Promises,
    pub is_store_up: bool,
    rng: ChaCha8Rng,
    store: FakeStore,
    owners: Vec<Actor>,
    queue: BTreeMap<(i64, u64), Event>,
    next_event: u64,
    accepted: BTreeSet<String>,
}

/// One owner's process.
struct Actor {
    owner: Scheduler,
    is_paused: bool,
    is_cut_from_store: bool,
}

enum Event {
    /// With the incarnation that holds the order back, where one does.
    StartArrives(u64, WorkerKey, TaskKey, Start, Option<i64>),
    StartAnswers(u64, WorkerKey, TaskKey, u64, StartResult),
    StopArrives(u64, WorkerKey, String, u64, String),
    StopAnswers(u64, WorkerKey, String, u64, bool),
    HoldArrives(u64, WorkerKey, Renewal, i64),
    HoldAnswers(u64, WorkerKey, Option<Option<Report>>, i64, u64),
    CommitArrives(u64, Batch),
    CommitAnswers(u64),
}

const ORDER_TIMEOUT_MS: i64 = 500;
const HOP_MS: i64 = 2;

impl World {
    pub fn new(seed: u64, workers: usize, cores: u64) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            faults: Faults::default(),
            workers: (0..workers)
                .map(|number| FakeWorker::new(&format!("w{number}"), cores, 1_000))
                .collect(),
            promises: Promises::default(),
            is_store_up: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: FakeStore::default(),
            owners: Vec::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            accepted: BTreeSet::new(),
        };
        world.take_over();
        world
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms as u64)
    }

    /// Prints what happens to the tasks whose names begin with the text in `HYSSOP_TRACE`.
    fn trace(&self, task: &str, text: impl FnOnce() -> String) {
        if std::env::var("HYSSOP_TRACE")
            .is_ok_and(|traced| task.is_empty() || task.starts_with(&traced))
        {
            println!("{} ms {task}: {}", self.now_ms, text());
        }
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    pub fn pick(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    /// Begins a new owner's term; the earlier owner's process goes on as long as it is not ended.
    pub fn take_over(&mut self) {
        self.store.term += 1;
        self.trace("", || format!("term {} begins", self.store.term));
        let mut owner = Scheduler::new("pool", self.store.term, Settings::default());
        owner.configure(&configuration(false));
        owner.recover(&self.store.records(), self.now(), self.now_ms);
        for worker in &self.workers {
            owner.register_worker(worker.listing.clone(), self.now());
        }
        self.owners.push(Actor {
            owner,
            is_paused: false,
            is_cut_from_store: false,
        });
    }

    /// Kills the newest owner's process.
    pub fn kill_owner(&mut self) {
        self.owners.pop();
    }

    /// Pauses the newest owner's process, or lets all go on.
    pub fn pause_owner(&mut self, is_paused: bool) {
        if is_paused {
            if let Some(actor) = self.owners.last_mut() {
                actor.is_paused = true;
            }
        } else {
            self.owners
                .iter_mut()
                .for_each(|actor| actor.is_paused = false);
        }
    }

    /// Cuts the newest owner's process off from the store, or lets all reach it again.
    pub fn cut_owner_from_store(&mut self, is_cut: bool) {
        if is_cut {
            if let Some(actor) = self.owners.last_mut() {
                actor.is_cut_from_store = true;
            }
        } else {
            let reach = |actor: &mut Actor| actor.is_cut_from_store = false;
            self.owners.iter_mut().for_each(reach);
        }
    }

    fn newest(&mut self) -> &mut Scheduler {
        &mut self.owners.last_mut().expect("an owner").owner
    }

    /// Tells the owner that a worker's registration has changed.
    pub fn relist(&mut self, worker: usize) {
        let listing = self.workers[worker].listing.clone();
        let now = self.now();
        for actor in &mut self.owners {
            actor.owner.register_worker(listing.clone(), now);
        }
    }

    /// Tells whether the newest owner lets a worker be ended with its tasks.
    pub fn is_cleared(&mut self, worker: usize) -> bool {
        let id = self.workers[worker].listing.id.clone();
        let now = self.now();
        let loads = self.newest().demand(now).loads;
        loads
            .iter()
            .any(|load| load.worker == id && load.is_released_for_disruption)
    }

    /// Ends a worker with all that runs on it, as the maintenance of its instance does, and tells
    /// the newest owner so; the next life joins at once.
    pub fn maintain(&mut self, worker: usize) {
        let now_ms = self.now_ms;
        let now = self.now();
        self.workers[worker].restart(now_ms);
        let id = self.workers[worker].listing.id.clone();
        self.newest().on_worker_terminated(&id, now);
        self.relist(worker);
    }

    pub fn submit(&mut self, id: &str, submission: Submission) -> Admission {
        self.promises.offered(id, &submission);
        let (now, wall) = (self.now(), self.now_ms);
        self.newest()
            .submit(id, "queue", submission, Duration::ZERO, now, wall)
    }

    /// Takes a submission back, as a front does whose caller stops waiting.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let is_withdrawn = self.newest().withdraw(id);
        if is_withdrawn {
            self.promises.refuse(id);
        }
        is_withdrawn
    }

    pub fn cancel(&mut self, id: &str) {
        let now = self.now();
        self.newest().cancel(id, now);
    }

    pub fn phase(&mut self, id: &str) -> Option<Phase> {
        self.newest().phase(id)
    }

    pub fn accepted(&self) -> Vec<String> {
        self.accepted.iter().cloned().collect()
    }

    pub fn owner(&mut self) -> &mut Scheduler {
        self.newest()
    }

    fn after(&mut self, delay_ms: i64, event: Event) {
        self.next_event += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.next_event), event);
    }

    /// Lets `ms` pass, in steps of 5 ms.
    pub fn run(&mut self, ms: i64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 5;
            self.pass_workers();
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            self.pass_owners();
        }
    }

    fn pass_workers(&mut self) {
        for number in 0..self.workers.len() {
            let worker = &mut self.workers[number];
            if !worker.is_up {
                continue;
            }
            let life = worker.listing.incarnation;
            let id = worker.listing.id.clone();
            for happening in worker.pass(self.now_ms) {
                if let Happening::Ended(task, run, ending, number) = happening {
                    self.trace(&task, || {
                        format!("run {run} on {id} ended {ending} as {number}")
                    });
                    self.promises
                        .ended((&id, life), &task, ending, number, self.now_ms);
                }
            }
        }
    }

    fn pass_owners(&mut self) {
        let (now, wall) = (self.now(), self.now_ms);
        for number in 0..self.owners.len() {
            let actor = &mut self.owners[number];
            if actor.is_paused {
                continue;
            }
            let term = actor.owner.term();
            let actions = actor.owner.advance(now, wall);
            let batch = actor.owner.next_batch(now);
            for action in actions {
                self.send(term, action);
            }
            if let Some(batch) = batch {
                let slow = self.faults.slow_commits;
                let delay = if self.chance(slow) { 500 } else { 10 };
                self.after(delay, Event::CommitArrives(term, batch));
            }
        }
    }

    fn actor(&mut self, term: u64) -> Option<&mut Actor> {
        self.owners
            .iter_mut()
            .find(|actor| actor.owner.term() == term)
    }

    fn send(&mut self, term: u64, action: Action) {
        self.trace("", || format!("term {term} orders {action:?}"));
        let (now, now_ms) = (self.now(), self.now_ms);
        let Some(actor) = self.actor(term) else {
            return;
        };
        match action {
            Action::Start { worker, task, run } => {
                if let Some(order) = actor.owner.order(worker, task, run, now) {
                    let late = self.faults.late_orders;
                    let is_late = self.chance(late);
                    if is_late {
                        let delay = self.pick(2_000..12_000) as i64;
                        let life = self.find(&order.worker);
                        let life = life.map(|number| self.workers[number].listing.incarnation);
                        let life = Some(life.unwrap_or(0));
                        let arrival = Event::StartArrives(term, worker, task, order, life);
                        self.after(delay, arrival);
                        let answer =
                            Event::StartAnswers(term, worker, task, run, StartResult::Lost);
                        self.after(ORDER_TIMEOUT_MS, answer);
                    } else {
                        let arrival = Event::StartArrives(term, worker, task, order, None);
                        self.after(HOP_MS, arrival);
                    }
                }
            }
            Action::Stop { worker, task, run } => {
                if let Some(state) = actor.owner.worker(worker) {
                    let id = state.listing.id.clone();
                    self.after(HOP_MS, Event::StopArrives(term, worker, task, run, id));
                }
            }
            Action::Renew {
                worker,
                wait,
                extends,
            } => {
                if let Some(hold) = actor.owner.lease_renewal(worker, wait, extends, now) {
                    // The wait is not modelled: the report comes after a tenth of it.
                    let delay = HOP_MS + hold.wait_ms as i64 / 10;
                    self.after(delay, Event::HoldArrives(term, worker, hold, now_ms));
                }
            }
            Action::Pace { .. } | Action::RequestAdvice { .. } => {}
        }
    }

    fn find(&mut self, id: &str) -> Option<usize> {
        self.workers
            .iter()
            .position(|worker| worker.listing.id == id && worker.is_up && worker.is_reachable)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::StartArrives(term, key, task, order, held_by) => {
                let run = order.run;
                let is_late = held_by.is_some();
                // What a worker holds back ends with it.
                let found = self.find(&order.worker).filter(|number| {
                    let life = self.workers[*number].listing.incarnation;
                    held_by.is_none_or(|held_by| held_by == life)
                });
                let answer = found.map(|number| self.carry_out(number, &order, is_late));
                if is_late {
                    return;
                }
                let lost = self.faults.lost_answers;
                let (delay, answer) = match answer {
                    Some(answer) if !self.chance(lost) => (HOP_MS, StartResult::Answered(answer)),
                    _ => (ORDER_TIMEOUT_MS, StartResult::Lost),
                };
                self.after(delay, Event::StartAnswers(term, key, task, run, answer));
            }
            Event::StartAnswers(term, key, task, run, answer) => {
                self.trace("", || format!("answer {key:?} {task:?} {run} {answer:?}"));
                if let Some(actor) = self.actor(term) {
                    actor.owner.on_start_result(key, task, run, answer, now);
                }
            }
            Event::StopArrives(term, key, task, run, id) => {
                let found = self.find(&id);
                if let Some(number) = found {
                    self.workers[number].stop(&task, run, term, self.now_ms);
                }
                let lost = self.faults.lost_answers;
                let is_answered = found.is_some() && !self.chance(lost);
                let delay = if is_answered {
                    HOP_MS
                } else {
                    ORDER_TIMEOUT_MS
                };
                self.after(delay, Event::StopAnswers(term, key, task, run, is_answered));
            }
            Event::StopAnswers(term, key, task, run, is_answered) => {
                if let Some(actor) = self.actor(term) {
                    actor
                        .owner
                        .on_stop_result(key, &task, run, is_answered, now);
                }
            }
            Event::HoldArrives(term, key, hold, sent_ms) => {
                let report = match self.find(&hold.worker) {
                    Some(number) => {
                        let worker = &mut self.workers[number];
                        let report = worker.hold(&hold, self.now_ms);
                        let is_taken = report.is_some();
                        let (id, life) = (worker.listing.id.clone(), worker.listing.incarnation);
                        let (seen, lapsed_ms) = (hold.acknowledged, worker.lapsed_ms);
                        self.trace("", || format!("{id} under {}: seen {seen}", hold.fence));
                        if is_taken {
                            self.promises.acknowledged(&id, life, seen, lapsed_ms);
                        }
                        Some(report)
                    }
                    None => None,
                };
                let delay = if report.is_some() { HOP_MS } else { 600 };
                let answer = Event::HoldAnswers(term, key, report, sent_ms, hold.acknowledged);
                self.after(delay, answer);
            }
            Event::HoldAnswers(term, key, report, sent_ms, acknowledged) => {
                let sent = Duration::from_millis(sent_ms as u64);
                let Some(actor) = self.actor(term) else {
                    return;
                };
                match report {
                    Some(Some(report)) => actor.owner.receive(key, report, sent, acknowledged, now),
                    Some(None) => actor.owner.depose(),
                    None => actor.owner.on_report_failure(key, now),
                }
            }
            Event::CommitArrives(term, batch) => {
                let is_cut = self.actor(term).is_none_or(|actor| actor.is_cut_from_store);
                if !self.is_store_up || is_cut {
                    self.after(100, Event::CommitArrives(term, batch));
                } else if self.store.commit(term, &batch) {
                    self.after(HOP_MS, Event::CommitAnswers(term));
                } else if let Some(actor) = self.actor(term) {
                    actor.owner.depose();
                }
            }
            Event::CommitAnswers(term) => {
                let now_ms = self.now_ms;
                let Some(actor) = self.actor(term) else {
                    return;
                };
                for told in actor.owner.on_commit(now) {
                    match told {
                        Notification::Accepted(id) => {
                            self.accepted.insert(id);
                        }
                        Notification::Cancelled(id) => self.promises.cancel(&id, now_ms),
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, number: usize, order: &Start, is_late: bool) -> StartOutcome {
        let now_ms = self.now_ms;
        let (answer, happening) = self.workers[number].start(order, now_ms);
        self.trace(&order.task, || {
            format!(
                "start of run {} on {} under {}, late {is_late}: {answer}",
                order.run, order.worker, order.fence
            )
        });
        if let Some(Happening::Began(task, _)) = happening {
            let elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
                other != number && worker.is_up && worker.running().any(|(name, _)| *name == task)
            });
            self.promises.began(&task, elsewhere, is_late, now_ms);
        }
        answer
    }

    /// Lets the faults end and the pool finish what it has accepted.
    ///
    /// # Panics
    ///
    /// Panics when an accepted job does not end.
    pub fn finish(&mut self) {
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
            self.relist(number);
        }
        self.pause_owner(false);
        self.cut_owner_from_store(false);
        self.run(60_000);
        for id in self.accepted() {
            let phase = self.phase(&id);
            assert!(
                phase.is_some_and(Phase::is_final),
                "job {id} was accepted and is {phase:?} at the end"
            );
            if phase == Some(Phase::Done) {
                assert!(
                    self.promises.is_done(&id),
                    "job {id} is told as done and is not"
                );
            }
        }
    }
}
