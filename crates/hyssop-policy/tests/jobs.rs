//! Jobs: no worker is overfull, nothing runs twice that must not, and failures are attributed.

#![allow(clippy::unwrap_used)]

mod support;

use hyssop_config::fleet::Team;
use hyssop_model::class::Class;
use hyssop_model::job::{Record, Size, Spec, State, Worker};
use hyssop_platform::worker::{Phase, Signal, Usage};
use hyssop_policy::job::{Action, Event, Scheduler, Settings};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::cases;

const WORKERS: usize = 4;
const WORKER_SIZE: Size = Size {
    cpu_millis: 4000,
    memory_mib: 4000,
    accelerators: 1,
};

fn worker(number: usize) -> Worker {
    Worker {
        name: format!("w-{number}"),
        pool: "archive".to_owned(),
        rack: format!("r-{}", number / 2),
        size: WORKER_SIZE,
    }
}

fn job(number: usize, cpu_millis: u64, class: Class, is_idempotent: bool) -> Record {
    Record::new(
        format!("j-{number}"),
        Spec {
            pool: "archive".to_owned(),
            team: format!("team-{}", number % 2),
            class,
            command: format!("command-{}", number % 3),
            size: Size {
                cpu_millis,
                memory_mib: cpu_millis,
                accelerators: 0,
            },
            is_idempotent,
        },
        0,
    )
}

/// Is the platform: it runs what was started, and loses answers and reports.
struct World {
    now: Instant,
    start: Instant,
    scheduler: Scheduler,
    /// The running tasks with the end of their lease.
    running: BTreeMap<String, (Record, Instant)>,
    /// The reports that were not told yet.
    reports: Vec<Usage>,
    runs: BTreeMap<String, u32>,
    rows: BTreeMap<String, Record>,
    signals: Vec<(String, Signal)>,
    next: usize,
    is_next_start_lost: bool,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            start: now,
            scheduler: Scheduler::new(Settings::default()),
            running: BTreeMap::new(),
            reports: Vec::new(),
            runs: BTreeMap::new(),
            rows: BTreeMap::new(),
            signals: Vec::new(),
            next: 0,
            is_next_start_lost: false,
        };
        world.step(Event::Workers((0..WORKERS).map(worker).collect()));
        world
    }

    fn step(&mut self, event: Event) {
        let wall_ms = self.now.duration_since(self.start).as_millis() as u64;
        let mut out = Vec::new();
        self.scheduler.step(self.now, wall_ms, event, &mut out);
        for action in out {
            match action {
                Action::Write(record) => {
                    self.rows.insert(record.id.clone(), record);
                }
                Action::Start(record) => {
                    self.rows.insert(record.id.clone(), record.clone());
                    self.begin(record);
                }
                Action::Signal { job, signal, .. } => self.signal(&job, signal),
                Action::Suspect { .. } => {}
            }
        }
    }

    fn begin(&mut self, record: Record) {
        if std::mem::take(&mut self.is_next_start_lost) {
            return;
        }
        *self.runs.entry(record.id.clone()).or_default() += 1;
        let lease_ends = self.now + Settings::default().lease;
        self.running.insert(record.id.clone(), (record, lease_ends));
    }

    fn signal(&mut self, job: &str, signal: Signal) {
        self.signals.push((job.to_owned(), signal));
        match signal {
            Signal::Renew => {
                if let Some((_, ends)) = self.running.get_mut(job) {
                    *ends = self.now + Settings::default().lease;
                }
            }
            Signal::Throttle => {}
            Signal::Checkpoint => self.end(job, Phase::Checkpointed),
            Signal::Stop => self.end(job, Phase::Stopped),
        }
    }

    fn usage(record: &Record, phase: Phase) -> Usage {
        Usage {
            worker: record.worker.clone().unwrap_or_default(),
            task: record.id.clone(),
            fence: record.fence,
            phase,
            cpu_millis: record.size.cpu_millis,
            memory_mib: record.size.memory_mib,
            ran_ms: 0,
        }
    }

    fn end(&mut self, job: &str, phase: Phase) {
        if let Some((record, _)) = self.running.remove(job) {
            self.reports.push(Self::usage(&record, phase));
        }
    }

    fn submit(&mut self, cpu_millis: u64, class: Class, is_idempotent: bool) -> String {
        let record = job(self.next, cpu_millis, class, is_idempotent);
        self.next += 1;
        let id = record.id.clone();
        self.rows.insert(id.clone(), record.clone());
        self.step(Event::Job(record));
        id
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        let now = self.now;
        let lapsed: Vec<String> = self
            .running
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.end(&id, Phase::Stopped);
        }
        self.step(Event::Tick);
    }

    fn report(&mut self) {
        let running = self
            .running
            .values()
            .map(|(record, _)| Self::usage(record, Phase::Running));
        let mut usages: Vec<Usage> = running.collect();
        usages.append(&mut self.reports);
        self.step(Event::Usage(usages));
    }

    fn assert_promises(&self) {
        for number in 0..WORKERS {
            let name = format!("w-{number}");
            let on_worker = self
                .running
                .values()
                .filter(|(record, _)| record.worker.as_deref() == Some(&name));
            let memory: u64 = on_worker.map(|(record, _)| record.size.memory_mib).sum();
            assert!(
                memory <= WORKER_SIZE.memory_mib,
                "{name} runs jobs of {memory} MiB"
            );
        }
        for (id, runs) in &self.runs {
            let is_idempotent = self.rows.get(id).is_some_and(|row| row.is_idempotent);
            let was_checkpointed = self
                .signals
                .iter()
                .any(|(job, signal)| job == id && *signal == Signal::Checkpoint);
            assert!(
                *runs <= 1 || is_idempotent || was_checkpointed,
                "{id} ran {runs} times"
            );
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Submit(u64, usize, bool),
    Cancel(usize),
    End(usize, bool),
    Pass(u64),
    Report,
    LoseReports,
    LoseStart,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (100..3000u64, 0..3usize, any::<bool>()).prop_map(|(cpu, class, idem)| Op::Submit(cpu, class, idem)),
        2 => any::<usize>().prop_map(Op::Cancel),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(index, well)| Op::End(index, well)),
        6 => prop_oneof![100..1000u64, 1000..50_000u64].prop_map(Op::Pass),
        6 => Just(Op::Report),
        1 => Just(Op::LoseReports),
        1 => Just(Op::LoseStart),
    ]
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn workers_are_not_overfull_and_nothing_runs_twice(ops in proptest::collection::vec(op(), 1..150)) {
        let mut world = World::new();
        for op in ops {
            match op {
                Op::Submit(cpu, class, idempotent) => {
                    let class = [Class::Urgent, Class::Normal, Class::Deferrable][class];
                    world.submit(cpu, class, idempotent);
                }
                Op::Cancel(index) => {
                    let id = format!("j-{}", index % world.next.max(1));
                    world.step(Event::Cancel(id));
                }
                Op::End(index, well) => {
                    let ids: Vec<String> = world.running.keys().cloned().collect();
                    if !ids.is_empty() {
                        let phase = if well { Phase::Done } else { Phase::Failed };
                        world.end(&ids[index % ids.len()], phase);
                    }
                }
                Op::Pass(ms) => world.pass(ms),
                Op::Report => world.report(),
                Op::LoseReports => world.reports.clear(),
                Op::LoseStart => world.is_next_start_lost = true,
            }
            world.assert_promises();
        }
        // Once the faults end, every job ends or runs.
        world.is_next_start_lost = false;
        for _ in 0..60 {
            world.report();
            let ids: Vec<String> = world.running.keys().cloned().collect();
            for id in ids {
                world.end(&id, Phase::Done);
            }
            world.pass(5000);
            world.assert_promises();
        }
        prop_assert!(world.scheduler.is_empty(), "{} jobs are stuck", world.scheduler.len());
    }
}

#[test]
fn urgent_work_starts_in_one_step_though_deferrable_work_fills_every_worker() {
    let mut world = World::new();
    for _ in 0..8 {
        world.submit(2000, Class::Deferrable, true);
    }
    world.pass(100);
    world.report();
    assert_eq!(world.running.len(), 8, "the workers are not full");
    let urgent = world.submit(1000, Class::Urgent, true);
    world.pass(100);
    world.report();
    world.pass(100);
    assert!(
        world.running.contains_key(&urgent),
        "urgent work still waits"
    );
}

#[test]
fn room_made_for_urgent_work_is_not_given_to_deferrable_work() {
    let mut world = World::new();
    for _ in 0..60 {
        world.submit(1000, Class::Deferrable, true);
    }
    world.pass(100);
    // The sizes of the commands are learned before the first urgent job comes.
    for _ in 0..12 {
        world.report();
    }
    // Memory is short, so room for the first one comes with a checkpoint and its report.
    let first = world.submit(1000, Class::Urgent, true);
    world.pass(100);
    world.report();
    world.pass(100);
    world.end(&first, Phase::Done);
    world.report();
    world.pass(100);
    for _ in 0..20 {
        let urgent = world.submit(1000, Class::Urgent, true);
        world.pass(100);
        assert!(
            world.running.contains_key(&urgent),
            "urgent work waits for a report"
        );
        world.end(&urgent, Phase::Done);
        world.report();
        world.pass(100);
    }
}

#[test]
fn a_job_that_fits_nowhere_is_told_so() {
    let mut world = World::new();
    let id = world.submit(40_000, Class::Normal, true);
    let row = &world.rows[&id];
    assert_eq!(row.state, State::Failed);
    assert!(
        row.reason.contains("no worker of pool archive"),
        "{}",
        row.reason
    );
}

#[test]
fn a_worker_that_fails_everything_gets_a_handful_of_starts() {
    let mut world = World::new();
    let mut starts = 0;
    for _ in 0..200 {
        world.submit(400, Class::Normal, true);
        world.pass(100);
        let ids: Vec<String> = world.running.keys().cloned().collect();
        for id in ids {
            let is_bad = world.running[&id].0.worker.as_deref() == Some("w-0");
            starts += usize::from(is_bad);
            world.end(&id, if is_bad { Phase::Failed } else { Phase::Done });
        }
        world.report();
    }
    assert!(starts <= 5, "the bad worker got {starts} starts");
    let failed = world.rows.values().filter(|row| row.state == State::Failed);
    assert_eq!(failed.count(), 0, "jobs were blamed for their worker");
}

#[test]
fn a_job_that_fails_everywhere_is_blamed() {
    let mut world = World::new();
    let bad = world.submit(400, Class::Normal, true);
    for _ in 0..10 {
        world.pass(100);
        if world.running.contains_key(&bad) {
            world.end(&bad, Phase::Failed);
        }
        world.report();
    }
    assert_eq!(world.rows[&bad].state, State::Failed);
    assert_eq!(world.runs[&bad], 3);
}

#[test]
fn teams_share_by_weight_and_borrow_what_is_idle() {
    let mut world = World::new();
    let team = |name: &str, weight| Team {
        name: name.to_owned(),
        weight,
    };
    world.step(Event::Teams(vec![team("team-0", 3), team("team-1", 1)]));
    for _ in 0..400 {
        world.submit(100, Class::Normal, true);
    }
    world.pass(100);
    let shares = (
        world.scheduler.share("team-0"),
        world.scheduler.share("team-1"),
    );
    assert!((shares.0 / shares.1 - 3.0).abs() < 0.1, "{shares:?}");
}

#[test]
fn thousands_of_cancellations_race_with_starts() {
    let mut world = World::new();
    for _ in 0..2000 {
        world.submit(1000, Class::Normal, true);
    }
    world.pass(100);
    for number in 0..2000 {
        world.step(Event::Cancel(format!("j-{number}")));
    }
    for _ in 0..3 {
        world.report();
        world.pass(1000);
    }
    assert!(world.scheduler.is_empty());
    assert!(world.rows.values().all(|row| row.state == State::Cancelled));
}
