//! The job scheduler: workers are not overcommitted, jobs that are not idempotent are not restarted,
//! and failures are attributed to the job or to the worker.

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

/// A scheduler with a simulated platform that runs the started jobs and may lose starts and reports.
struct Simulation {
    now: Instant,
    start: Instant,
    scheduler: Scheduler,
    /// The running jobs with the end of their lease.
    running: BTreeMap<String, (Record, Instant)>,
    /// The final reports that the scheduler has not received yet.
    reports: Vec<Usage>,
    runs: BTreeMap<String, u32>,
    rows: BTreeMap<String, Record>,
    signals: Vec<(String, Signal)>,
    next: usize,
    is_next_start_lost: bool,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let mut simulation = Self {
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
        simulation.step(Event::Workers((0..WORKERS).map(worker).collect()));
        simulation
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
                    self.start_job(record);
                }
                Action::Signal { job, signal, .. } => self.signal(&job, signal),
                Action::Suspect { .. } => {}
            }
        }
    }

    fn start_job(&mut self, record: Record) {
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

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        let now = self.now;
        let expired: Vec<String> = self
            .running
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
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

    fn assert_invariants(&self) {
        for number in 0..WORKERS {
            let name = format!("w-{number}");
            let on_worker = self
                .running
                .values()
                .filter(|(record, _)| record.worker.as_deref() == Some(&name));
            let memory: u64 = on_worker.map(|(record, _)| record.size.memory_mib).sum();
            assert!(
                memory <= WORKER_SIZE.memory_mib,
                "the jobs on {name} use {memory} MiB"
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
    Advance(u64),
    Report,
    LoseReports,
    LoseStart,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (100..3000u64, 0..3usize, any::<bool>()).prop_map(|(cpu, class, idempotent)| Op::Submit(cpu, class, idempotent)),
        2 => any::<usize>().prop_map(Op::Cancel),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(index, succeeds)| Op::End(index, succeeds)),
        6 => prop_oneof![100..1000u64, 1000..50_000u64].prop_map(Op::Advance),
        6 => Just(Op::Report),
        1 => Just(Op::LoseReports),
        1 => Just(Op::LoseStart),
    ]
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn never_overcommits_workers_or_restarts_non_idempotent_jobs(ops in proptest::collection::vec(op(), 1..150)) {
        let mut simulation = Simulation::new();
        for op in ops {
            match op {
                Op::Submit(cpu, class, idempotent) => {
                    let class = [Class::Urgent, Class::Normal, Class::Deferrable][class];
                    simulation.submit(cpu, class, idempotent);
                }
                Op::Cancel(index) => {
                    let id = format!("j-{}", index % simulation.next.max(1));
                    simulation.step(Event::Cancel(id));
                }
                Op::End(index, succeeds) => {
                    let ids: Vec<String> = simulation.running.keys().cloned().collect();
                    if !ids.is_empty() {
                        let phase = if succeeds { Phase::Done } else { Phase::Failed };
                        simulation.end(&ids[index % ids.len()], phase);
                    }
                }
                Op::Advance(ms) => simulation.advance(ms),
                Op::Report => simulation.report(),
                Op::LoseReports => simulation.reports.clear(),
                Op::LoseStart => simulation.is_next_start_lost = true,
            }
            simulation.assert_invariants();
        }
        // Every job ends once the faults stop.
        simulation.is_next_start_lost = false;
        for _ in 0..60 {
            simulation.report();
            let ids: Vec<String> = simulation.running.keys().cloned().collect();
            for id in ids {
                simulation.end(&id, Phase::Done);
            }
            simulation.advance(5000);
            simulation.assert_invariants();
        }
        prop_assert!(simulation.scheduler.is_empty(), "{} jobs have not ended", simulation.scheduler.len());
    }
}

#[test]
fn urgent_job_preempts_deferrable_jobs_on_full_workers() {
    let mut simulation = Simulation::new();
    for _ in 0..8 {
        simulation.submit(2000, Class::Deferrable, true);
    }
    simulation.advance(100);
    simulation.report();
    assert_eq!(
        simulation.running.len(),
        8,
        "the deferrable jobs do not fill the workers"
    );
    let urgent = simulation.submit(1000, Class::Urgent, true);
    simulation.advance(100);
    simulation.report();
    simulation.advance(100);
    assert!(
        simulation.running.contains_key(&urgent),
        "the urgent job is still waiting"
    );
}

#[test]
fn capacity_freed_for_urgent_jobs_is_not_reused_by_deferrable_jobs() {
    let mut simulation = Simulation::new();
    for _ in 0..60 {
        simulation.submit(1000, Class::Deferrable, true);
    }
    simulation.advance(100);
    // Enough usage reports for the profile of each command, before the first urgent job.
    for _ in 0..12 {
        simulation.report();
    }
    // Memory is full, so the first urgent job waits for a checkpoint and its report.
    let first = simulation.submit(1000, Class::Urgent, true);
    simulation.advance(100);
    simulation.report();
    simulation.advance(100);
    simulation.end(&first, Phase::Done);
    simulation.report();
    simulation.advance(100);
    for _ in 0..20 {
        let urgent = simulation.submit(1000, Class::Urgent, true);
        simulation.advance(100);
        assert!(
            simulation.running.contains_key(&urgent),
            "the urgent job waits for a report"
        );
        simulation.end(&urgent, Phase::Done);
        simulation.report();
        simulation.advance(100);
    }
}

#[test]
fn job_that_fits_on_no_worker_fails_with_reason() {
    let mut simulation = Simulation::new();
    let id = simulation.submit(40_000, Class::Normal, true);
    let row = &simulation.rows[&id];
    assert_eq!(row.state, State::Failed);
    assert!(
        row.reason.contains("no worker of pool archive"),
        "{}",
        row.reason
    );
}

#[test]
fn worker_that_fails_every_job_is_excluded() {
    let mut simulation = Simulation::new();
    let mut starts = 0;
    for _ in 0..200 {
        simulation.submit(400, Class::Normal, true);
        simulation.advance(100);
        let ids: Vec<String> = simulation.running.keys().cloned().collect();
        for id in ids {
            let is_failing = simulation.running[&id].0.worker.as_deref() == Some("w-0");
            starts += usize::from(is_failing);
            simulation.end(
                &id,
                if is_failing {
                    Phase::Failed
                } else {
                    Phase::Done
                },
            );
        }
        simulation.report();
    }
    assert!(starts <= 5, "the failing worker got {starts} starts");
    let failed = simulation
        .rows
        .values()
        .filter(|row| row.state == State::Failed);
    assert_eq!(failed.count(), 0, "jobs failed because of their worker");
}

#[test]
fn job_that_fails_on_three_workers_is_not_retried() {
    let mut simulation = Simulation::new();
    let failing = simulation.submit(400, Class::Normal, true);
    for _ in 0..10 {
        simulation.advance(100);
        if simulation.running.contains_key(&failing) {
            simulation.end(&failing, Phase::Failed);
        }
        simulation.report();
    }
    assert_eq!(simulation.rows[&failing].state, State::Failed);
    assert_eq!(simulation.runs[&failing], 3);
}

#[test]
fn teams_share_capacity_by_weight() {
    let mut simulation = Simulation::new();
    let team = |name: &str, weight| Team {
        name: name.to_owned(),
        weight,
    };
    simulation.step(Event::Teams(vec![team("team-0", 3), team("team-1", 1)]));
    for _ in 0..400 {
        simulation.submit(100, Class::Normal, true);
    }
    simulation.advance(100);
    let shares = (
        simulation.scheduler.share("team-0"),
        simulation.scheduler.share("team-1"),
    );
    assert!((shares.0 / shares.1 - 3.0).abs() < 0.1, "{shares:?}");
}

#[test]
fn cancels_thousands_of_waiting_and_started_jobs() {
    let mut simulation = Simulation::new();
    for _ in 0..2000 {
        simulation.submit(1000, Class::Normal, true);
    }
    simulation.advance(100);
    for number in 0..2000 {
        simulation.step(Event::Cancel(format!("j-{number}")));
    }
    for _ in 0..3 {
        simulation.report();
        simulation.advance(1000);
    }
    assert!(simulation.scheduler.is_empty());
    assert!(simulation
        .rows
        .values()
        .all(|row| row.state == State::Cancelled));
}
