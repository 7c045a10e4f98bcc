use super::ledger::{self, Place};
use super::slate;
use super::{Action, Blame, Catalogue, Event, Ledger, Settings, Slate, Task};
use hyssop_model::job::{Record, Size, State, Worker};
use hyssop_model::prelude::*;
use hyssop_platform::worker::{Phase, Signal, Usage};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Places the jobs of one region on its workers.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    slate: Slate,
    ledger: Ledger,
    catalogue: Catalogue,
    blame: Blame,
    tasks: BTreeMap<String, Task>,
    /// The jobs on each worker.
    on_worker: BTreeMap<slate::Key, BTreeSet<String>>,
    sequence: u64,
    /// The largest urgent job that each pool had lately, and when it had one last.
    urgent_needs: BTreeMap<String, (Size, Instant)>,
    /// The pools in which something became free or began to wait.
    dirty: BTreeSet<String>,
    /// When to look whether a job's lease is over; one entry a job.
    lapses: BTreeSet<(Instant, String)>,
}

impl Scheduler {
    /// Makes a scheduler without workers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            slate: Slate::default(),
            ledger: Ledger::default(),
            catalogue: Catalogue::default(),
            blame: Blame::default(),
            tasks: BTreeMap::new(),
            on_worker: BTreeMap::new(),
            sequence: 0,
            urgent_needs: BTreeMap::new(),
            dirty: BTreeSet::new(),
            lapses: BTreeSet::new(),
        }
    }

    /// Takes in one event, at `wall_ms` of the wall clock.
    pub fn step(&mut self, now: Instant, wall_ms: u64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Workers(workers) => self.set_workers(workers, out),
            Event::Teams(teams) => self.ledger.set_teams(&teams),
            Event::Job(record) => self.insert(now, record, out),
            Event::Cancel(job) => self.cancel(&job, out),
            Event::Usage(usages) => self.hear_usage(now, wall_ms, &usages, out),
            Event::NotStarted { job, fence } => self.take_back(&job, fence, out),
            Event::Tick => self.tick(now, wall_ms, out),
        }
    }

    /// Returns a job's row.
    pub fn job(&self, id: &str) -> Option<&Record> {
        self.tasks.get(id).map(|task| &task.record)
    }

    /// Returns the part of all workers that a team uses, by the resource it uses most of.
    pub fn share(&self, team: &str) -> f64 {
        self.ledger.share(team, self.slate.whole())
    }

    /// Returns the number of jobs that have not ended.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether no job is open.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn insert(&mut self, now: Instant, record: Record, out: &mut Vec<Action>) {
        let id = record.id.clone();
        if record.state.is_final() || self.tasks.contains_key(&id) {
            return;
        }
        self.sequence += 1;
        let mut task = Task {
            team: self.ledger.key(&record.team),
            worker: record
                .worker
                .as_deref()
                .map(|worker| self.slate.key(worker)),
            reserved: record.size,
            over_at: None,
            is_throttled: false,
            is_ending: false,
            sequence: self.sequence,
            record,
        };
        if task.record.state.is_waiting() {
            if let Some(reason) = self.impossible(&task.record) {
                task.record.state = State::Failed;
                task.record.reason = reason;
                out.push(Action::Write(task.record));
                return;
            }
            self.ledger.push(place_of(&task));
            self.dirty.insert(task.record.pool.clone());
        } else {
            // It was placed by an earlier planner; it may run until its lease is over.
            let over_at = now + self.settings.lease + self.settings.lease_slack;
            task.over_at = Some(over_at);
            self.lapses.insert((over_at, id.clone()));
            self.tasks.insert(id.clone(), task);
            self.hold(&id);
            return;
        }
        self.tasks.insert(id, task);
    }

    /// Takes in the workers, and ends the waiting jobs that none of them could run.
    fn set_workers(&mut self, workers: Vec<Worker>, out: &mut Vec<Action>) {
        if !self.slate.set_workers(workers) {
            return;
        }
        self.dirty.extend(self.slate.pools());
        let waiting = self
            .tasks
            .values()
            .filter(|task| task.record.state.is_waiting());
        let impossible: Vec<(String, String)> = waiting
            .filter_map(|task| Some((task.record.id.clone(), self.impossible(&task.record)?)))
            .collect();
        for (id, reason) in impossible {
            self.finish(&id, State::Failed, &reason, out);
        }
    }

    /// Returns why a job can never run, if it can't.
    fn impossible(&self, record: &Record) -> Option<String> {
        if self.slate.is_empty() || self.slate.could_hold(&record.pool, &record.size) {
            return None;
        }
        Some(format!(
            "no worker of pool {} has {} thousandths of a core, {} MiB and {} accelerators; ask for less or another pool",
            record.pool, record.size.cpu_millis, record.size.memory_mib, record.size.accelerators
        ))
    }

    /// Reserves a task's size on its worker and charges its team.
    fn hold(&mut self, id: &str) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let Some(worker) = task.worker else {
            return;
        };
        self.slate.reserve(worker, &task.reserved);
        self.ledger.charge(task.team, &task.reserved);
        self.on_worker
            .entry(worker)
            .or_default()
            .insert(id.to_owned());
    }

    /// Gives back what a task holds.
    fn let_go(&mut self, id: &str) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(worker) = task.worker.take() else {
            return;
        };
        self.slate.release(worker, &task.reserved);
        self.dirty.insert(task.record.pool.clone());
        if let Some(jobs) = self.on_worker.get_mut(&worker) {
            jobs.remove(id);
        }
        self.ledger.refund(task.team, &task.reserved);
        task.over_at = None;
        task.is_throttled = false;
        task.is_ending = false;
    }

    fn cancel(&mut self, id: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.record.is_cancelled = true;
        if task.record.state.is_waiting() {
            self.finish(id, State::Cancelled, "withdrawn before it started", out);
            return;
        }
        out.push(Action::Write(task.record.clone()));
        if let (Some(worker), false) = (task.record.worker.clone(), task.is_ending) {
            task.is_ending = true;
            let job = id.to_owned();
            let signal = Signal::Stop;
            out.push(Action::Signal {
                worker,
                job,
                signal,
            });
        }
    }

    /// Ends a job for good.
    fn finish(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        let was_waiting = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.state.is_waiting());
        if was_waiting {
            self.leave_queue(id);
        } else {
            self.let_go(id);
        }
        if let Some(mut task) = self.tasks.remove(id) {
            task.record.state = state;
            task.record.reason = reason.to_owned();
            out.push(Action::Write(task.record));
        }
    }

    fn leave_queue(&mut self, id: &str) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        self.ledger.remove(
            task.team,
            &task.record.pool,
            task.record.class,
            task.sequence,
        );
    }

    /// Puts a job whose last start is certainly over back into the queue.
    fn requeue(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        self.let_go(id);
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.record.state = state;
        task.record.worker = None;
        task.record.reason = reason.to_owned();
        out.push(Action::Write(task.record.clone()));
        self.ledger.push(place_of(task));
        self.dirty.insert(task.record.pool.clone());
    }

    /// Takes back a start that certainly did not run.
    fn take_back(&mut self, id: &str, fence: u64, out: &mut Vec<Action>) {
        let is_current = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.fence == fence && task.record.state == State::Placed);
        if is_current {
            self.requeue(id, State::Queued, "the worker refused the start", out);
        }
    }

    fn hear_usage(&mut self, now: Instant, wall_ms: u64, usages: &[Usage], out: &mut Vec<Action>) {
        for usage in usages {
            let is_current = self.tasks.get(&usage.task).is_some_and(|task| {
                task.record.fence == usage.fence
                    && task.record.worker.as_deref() == Some(usage.worker.as_str())
            });
            if is_current {
                self.hear_task(now, wall_ms, usage, out);
            }
        }
    }

    fn hear_task(&mut self, now: Instant, wall_ms: u64, usage: &Usage, out: &mut Vec<Action>) {
        let id = usage.task.as_str();
        match usage.phase {
            Phase::Running => self.hear_running(now, wall_ms, usage, out),
            Phase::Done => {
                self.blame.succeed(&usage.worker);
                self.finish(id, State::Done, "", out);
            }
            Phase::Checkpointed => {
                self.after_end(id, State::Checkpointed, "made room for urgent work", out)
            }
            Phase::Stopped => self.after_stop(id, out),
            Phase::Failed => self.after_failure(now, usage, out),
        }
    }

    fn hear_running(&mut self, now: Instant, wall_ms: u64, usage: &Usage, out: &mut Vec<Action>) {
        let settings = self.settings;
        let Some(task) = self.tasks.get_mut(&usage.task) else {
            return;
        };
        task.over_at = Some(now + settings.lease + settings.lease_slack);
        self.catalogue
            .observe(&task.record.command, usage.cpu_millis, usage.memory_mib);
        if task.record.state == State::Placed {
            task.record.state = State::Running;
            task.record.lease_ends_ms = wall_ms + settings.lease.as_millis() as u64;
            out.push(Action::Write(task.record.clone()));
        }
        if !task.is_ending {
            out.push(Action::Signal {
                worker: usage.worker.clone(),
                job: usage.task.clone(),
                signal: Signal::Renew,
            });
        }
        self.correct(usage);
    }

    /// Raises a task's reserved memory to what it uses.
    fn correct(&mut self, usage: &Usage) {
        let Some(task) = self.tasks.get_mut(&usage.task) else {
            return;
        };
        let surplus_mib = usage.memory_mib.saturating_sub(task.reserved.memory_mib);
        if surplus_mib == 0 {
            return;
        }
        let surplus = Size {
            memory_mib: surplus_mib,
            ..Size::default()
        };
        task.reserved.add(&surplus);
        if let Some(worker) = task.worker {
            self.slate.reserve(worker, &surplus);
            self.ledger.charge(task.team, &surplus);
        }
    }

    fn after_end(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        let is_cancelled = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_cancelled);
        if is_cancelled {
            self.finish(id, State::Cancelled, "withdrawn while it ran", out);
        } else {
            self.requeue(id, state, reason, out);
        }
    }

    /// Decides on a job that was ended from outside: only an idempotent one starts again.
    fn after_stop(&mut self, id: &str, out: &mut Vec<Action>) {
        let is_repeatable = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_idempotent);
        let is_cancelled = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_cancelled);
        if is_repeatable || is_cancelled {
            self.after_end(id, State::Queued, "it was stopped and starts again", out);
        } else {
            let reason = "it was stopped after it had started, and is not idempotent; look before you submit it again";
            self.finish(id, State::Failed, reason, out);
        }
    }

    fn after_failure(&mut self, now: Instant, usage: &Usage, out: &mut Vec<Action>) {
        let id = usage.task.as_str();
        if self.blame.fail(now, &usage.worker, id, &self.settings) {
            let worker = self.slate.key(&usage.worker);
            self.slate.set_open(worker, false);
            out.push(Action::Suspect {
                worker: usage.worker.clone(),
            });
        }
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if !task.record.failed_on.contains(&usage.worker) {
            task.record.failed_on.push(usage.worker.clone());
        }
        let failures = task.record.failed_on.len();
        if !task.record.is_idempotent {
            self.finish(id, State::Failed, "it failed, and is not idempotent", out);
        } else if failures >= self.settings.failures_of_job {
            let reason = format!("it failed on {failures} workers; look at its command");
            self.finish(id, State::Failed, &reason, out);
        } else {
            self.requeue(
                id,
                State::Queued,
                "it failed and is tried on another worker",
                out,
            );
        }
    }

    fn tick(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        for worker in self.blame.take_rested(now) {
            let worker = self.slate.key(&worker);
            self.slate.set_open(worker, true);
            self.dirty.extend(self.slate.pools());
        }
        self.end_lapsed(now, out);
        self.place_urgent(now, wall_ms, out);
        self.place_all(now, wall_ms, out);
    }

    /// Decides on jobs whose lease is certainly over without a word of them.
    fn end_lapsed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut lapsed: Vec<(String, State)> = Vec::new();
        while let Some((at, id)) = self.lapses.first().cloned() {
            if at > now {
                break;
            }
            self.lapses.pop_first();
            let Some(task) = self.tasks.get(&id) else {
                continue;
            };
            match task.over_at {
                // The lease was renewed meanwhile.
                Some(over_at) if over_at > now => {
                    self.lapses.insert((over_at, id));
                }
                Some(_) => lapsed.push((id, task.record.state)),
                None => {}
            }
        }
        for (id, state) in lapsed {
            let is_repeatable = self
                .tasks
                .get(&id)
                .is_some_and(|task| task.record.is_idempotent);
            if is_repeatable {
                self.after_end(&id, State::Queued, "its worker was lost", out);
            } else {
                let reason = match state {
                    State::Placed => {
                        "its start was not confirmed; it may have run, and is not idempotent"
                    }
                    _ => "its worker was lost while it ran, and it is not idempotent",
                };
                self.finish(&id, State::Failed, reason, out);
            }
        }
    }

    /// Places urgent jobs, and makes room for those that do not fit.
    fn place_urgent(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        const MOST_AT_ONCE: usize = 256;
        let urgent: Vec<String> = self
            .ledger
            .urgent()
            .take(MOST_AT_ONCE)
            .map(str::to_owned)
            .collect();
        for id in urgent {
            if !self.place(now, wall_ms, &id, out) {
                self.make_room(&id, out);
                self.place(now, wall_ms, &id, out);
            }
        }
    }

    /// Places what fits in the pools where something changed.
    fn place_all(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        for pool in std::mem::take(&mut self.dirty) {
            self.place_pool(now, wall_ms, &pool, out);
        }
    }

    /// Places what fits in a pool, always a job of the team whose turn it is.
    fn place_pool(&mut self, now: Instant, wall_ms: u64, pool: &str, out: &mut Vec<Action>) {
        const DEEPEST_LOOK: usize = 4;
        // What did not fit in this pass; what is as large or larger does not fit either.
        let mut too_large: Vec<Size> = Vec::new();
        let whole = *self.slate.whole();
        let turns = self.ledger.turns(pool, &whole);
        let mut turns: BinaryHeap<Reverse<(u64, ledger::Key)>> =
            turns.into_iter().map(Reverse).collect();
        while let Some(Reverse((_, team))) = turns.pop() {
            for depth in 0..DEEPEST_LOOK {
                let Some((id, size)) = self.ledger.nth_waiting(team, pool, depth) else {
                    break;
                };
                if too_large.iter().any(|large| size.holds(large)) {
                    continue;
                }
                let id = id.to_owned();
                if self.place(now, wall_ms, &id, out) {
                    // The team's turn is a later one now; the other teams' turns are as they were.
                    let next = self.ledger.turn(team, pool, &whole);
                    turns.extend(next.map(|turn| Reverse((turn, team))));
                    break;
                }
                too_large.push(size);
            }
        }
    }

    /// Places one job, if a worker has room.
    fn place(&mut self, now: Instant, wall_ms: u64, id: &str, out: &mut Vec<Action>) -> bool {
        let settings = &self.settings;
        let Some(task) = self.tasks.get_mut(id) else {
            return false;
        };
        let record = &mut task.record;
        let size = size_to_reserve(&self.catalogue, &self.slate, settings, record);
        if record.class == Class::Urgent {
            note_urgent(&mut self.urgent_needs, now, &record.pool, &size, settings);
        }
        let urgent = self.urgent_needs.get(&record.pool);
        let urgent = urgent.filter(|(_, at)| *at + settings.urgent_memory > now);
        let mut wanted = size;
        if let (Class::Deferrable, Some((need, _))) = (record.class, urgent) {
            // One worker at least keeps room for the next urgent job: making room takes longer than
            // urgent work may wait.
            if !self.slate.has_two(&record.pool, need) {
                wanted.add(need);
            }
        }
        let found = self.slate.find(
            &record.pool,
            &wanted,
            settings.candidates,
            &record.failed_on,
        );
        let Some(worker) = found else {
            return false;
        };
        self.ledger
            .remove(task.team, &record.pool, record.class, task.sequence);
        let over_at = now + settings.lease + settings.lease_slack + settings.usage_lag;
        record.state = State::Placed;
        record.fence += 1;
        record.lease_ends_ms = wall_ms + settings.lease.as_millis() as u64;
        record.reason.clear();
        record.worker = Some(self.slate.name(worker).to_owned());
        task.worker = Some(worker);
        task.reserved = size;
        task.over_at = Some(over_at);
        self.slate.reserve(worker, &size);
        self.ledger.charge(task.team, &size);
        self.on_worker
            .entry(worker)
            .or_default()
            .insert(id.to_owned());
        self.lapses.insert((over_at, id.to_owned()));
        out.push(Action::Start(record.clone()));
        true
    }

    /// Makes room for an urgent job on the worker where the least deferrable work must yield:
    /// processors by throttling, else memory and accelerators by checkpoints.
    fn make_room(&mut self, id: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let pool = task.record.pool.clone();
        let need = size_to_reserve(&self.catalogue, &self.slate, &self.settings, &task.record);
        let workers: Vec<slate::Key> = self
            .slate
            .of_pool(&pool)
            .take(self.settings.candidates)
            .collect();
        for worker in &workers {
            if self.throttle(*worker, &need, out) {
                return;
            }
        }
        let is_coming = workers
            .iter()
            .any(|worker| self.is_making_room(*worker, &need));
        if is_coming {
            return;
        }
        for worker in &workers {
            if self.checkpoint(*worker, &need, out) {
                return;
            }
        }
    }

    fn deferrable_on(&self, worker: slate::Key) -> Vec<String> {
        let jobs = self.on_worker.get(&worker).into_iter().flatten();
        let is_deferrable = |id: &&String| {
            let task = self.tasks.get(*id);
            task.is_some_and(|task| task.record.class == Class::Deferrable && !task.is_ending)
        };
        jobs.filter(is_deferrable).cloned().collect()
    }

    /// Halves the processors of a worker's deferrable jobs, if that makes room.
    fn throttle(&mut self, worker: slate::Key, need: &Size, out: &mut Vec<Action>) -> bool {
        let Some(mut free) = self.slate.free(worker).copied() else {
            return false;
        };
        let jobs = self.deferrable_on(worker);
        let halves = jobs.iter().filter_map(|id| self.tasks.get(id));
        let halves: Vec<(String, u64)> = halves
            .filter(|task| !task.is_throttled)
            .map(|task| (task.record.id.clone(), task.reserved.cpu_millis / 2))
            .collect();
        free.cpu_millis += halves.iter().map(|(_, half)| half).sum::<u64>();
        if !free.holds(need) {
            return false;
        }
        for (id, half) in halves {
            let half = Size {
                cpu_millis: half,
                ..Size::default()
            };
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            task.is_throttled = true;
            task.reserved.subtract(&half);
            self.slate.release(worker, &half);
            self.ledger.refund(task.team, &half);
            out.push(Action::Signal {
                worker: self.slate.name(worker).to_owned(),
                job: id,
                signal: Signal::Throttle,
            });
        }
        true
    }

    /// Tells whether jobs that were asked to end will leave enough room.
    fn is_making_room(&self, worker: slate::Key, need: &Size) -> bool {
        let Some(mut free) = self.slate.free(worker).copied() else {
            return false;
        };
        let jobs = self.on_worker.get(&worker).into_iter().flatten();
        let mut is_any = false;
        for task in jobs
            .filter_map(|id| self.tasks.get(id))
            .filter(|task| task.is_ending)
        {
            is_any = true;
            free.add(&task.reserved);
        }
        is_any && free.holds(need)
    }

    /// Checkpoints deferrable jobs of a worker until there is room, if that is enough.
    fn checkpoint(&mut self, worker: slate::Key, need: &Size, out: &mut Vec<Action>) -> bool {
        let Some(mut free) = self.slate.free(worker).copied() else {
            return false;
        };
        let mut chosen = Vec::new();
        for id in self.deferrable_on(worker) {
            if free.holds(need) {
                break;
            }
            if let Some(task) = self.tasks.get(&id) {
                free.add(&task.reserved);
                chosen.push(id);
            }
        }
        if !free.holds(need) {
            return false;
        }
        for id in chosen {
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            task.is_ending = true;
            out.push(Action::Signal {
                worker: self.slate.name(worker).to_owned(),
                job: id,
                signal: Signal::Checkpoint,
            });
        }
        true
    }
}

/// Returns a waiting task's place in the ledger.
fn place_of(task: &Task) -> Place {
    Place {
        team: task.team,
        pool: task.record.pool.clone(),
        class: task.record.class,
        sequence: task.sequence,
        job: task.record.id.clone(),
        size: task.record.size,
    }
}

/// Returns what to reserve for a job: never more than its pool's largest worker has.
fn size_to_reserve(
    catalogue: &Catalogue,
    slate: &Slate,
    settings: &Settings,
    record: &Record,
) -> Size {
    let mut size = catalogue.size(&record.command, &record.size, settings.memory_reserve);
    let largest = slate.largest_memory_mib(&record.pool);
    size.memory_mib = size.memory_mib.min(largest.max(record.size.memory_mib));
    size
}

/// Remembers the largest urgent job of a pool for a while.
fn note_urgent(
    needs: &mut BTreeMap<String, (Size, Instant)>,
    now: Instant,
    pool: &str,
    size: &Size,
    settings: &Settings,
) {
    let (need, at) = needs.entry(pool.to_owned()).or_insert((*size, now));
    if *at + settings.urgent_memory < now {
        *need = Size::default();
    }
    need.raise_to(size);
    *at = now;
}
