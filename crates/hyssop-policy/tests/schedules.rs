//! Scheduled jobs: when their occurrences start, and what a new owner knows of them.

mod model;

use hyssop_model::work::{Completion, Outcome, Phase, Report, Schedule, Submission, Task};
use hyssop_policy::owner::{Action, Record, Scheduler, Settings, WorkerKey};
use model::{configuration, job, worker, Faults, World};
use std::collections::BTreeSet;
use std::time::Duration;

const ID: &str = "00000000000000aa";

/// Returns a job of one task that takes `ms`, `count` times from `first_ms` at `interval_ms`.
fn scheduled(ms: u64, first_ms: i64, interval_ms: i64, count: u32) -> Submission {
    Submission {
        schedule: Some(Schedule {
            first_ms,
            interval_ms,
            count,
        }),
        ..job(1, 1, ms)
    }
}

/// Returns the number of runs in progress.
fn running(world: &World) -> usize {
    world.workers.iter().map(|w| w.running().count()).sum()
}

/// Returns the worker that runs an occurrence with one of these numbers.
fn worker_with(world: &World, occurrences: std::ops::Range<u32>) -> Option<usize> {
    let names: Vec<String> = occurrences.map(|k| format!("{ID}.{k}.0.0")).collect();
    let runs_one = |w: &usize| {
        let mut running = world.workers[*w].running();
        running.any(|(task, _)| names.contains(task))
    };
    (0..world.workers.len()).find(runs_one)
}

#[test]
fn every_occurrence_runs_once() {
    let mut world = World::new(1, 2, 8);
    world.run(200);
    let first_ms = world.now_ms + 300;
    world.submit(ID, scheduled(400, first_ms, 500, 8));
    world.run(12_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, 8);
}

/// An owner that was cut off from the store started occurrences that no row named; its successor
/// started them beside the runs on a worker that it could not reach.
#[test]
fn unstored_occurrence_never_runs_on_two_workers() {
    for cut_ms in [500, 1_500, 2_500, 3_500, 4_500] {
        let mut world = World::new(2, 3, 8);
        world.run(200);
        let first_ms = world.now_ms + 100;
        world.submit(ID, scheduled(6_000, first_ms, 1_000, 8));
        world.run(cut_ms);
        world.cut_owner_from_store(true);
        world.run(4_500);
        for number in 0..3 {
            world.workers[number].is_reachable = worker_with(&world, 4..8) != Some(number);
        }
        world.start_owner();
        world.run(40_000);
        for worker in &mut world.workers {
            worker.is_reachable = true;
        }
        world.run(40_000);
        assert_eq!(world.phase(ID), Some(Phase::Done));
    }
}

#[test]
fn starts_no_occurrence_that_is_not_stored() {
    let mut world = World::new(3, 2, 8);
    world.run(200);
    let first_ms = world.now_ms + 100;
    world.submit(ID, scheduled(60_000, first_ms, 1_000, 20));
    world.run(500);
    world.is_store_up = false;
    world.run(15_000);
    let during_outage = running(&world);
    assert!(
        during_outage < 8,
        "{during_outage} occurrences were started"
    );
    world.is_store_up = true;
    world.run(1_000);
    assert!(running(&world) >= 14, "{} after it", running(&world));
}

/// Occurrences are stored ahead of time, so a store that takes half a second delays none.
#[test]
fn slow_store_delays_no_occurrence() {
    let mut world = World::new(4, 2, 20);
    world.commit_ms = 500;
    world.run(1_500);
    let first_ms = world.now_ms + 2_000;
    world.submit(ID, scheduled(60_000, first_ms, 700, 10));
    for number in 0..10 {
        let due_ms = first_ms + 700 * number;
        world.run(due_ms - 10 - world.now_ms);
        assert_eq!(running(&world), number as usize, "none before its time");
        world.run(100);
        assert_eq!(running(&world), number as usize + 1, "none after its time");
    }
}

/// A scheduler under the given term that knows one worker, and the store that it writes to.
struct Owner {
    scheduler: Scheduler,
    worker: Option<WorkerKey>,
    records: Vec<Record>,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Owner {
    /// Creates an owner that takes over the given records at `ms`.
    fn new(term: u64, records: Vec<Record>, ms: u64, wall_ms: i64) -> Self {
        Self::with(Settings::default(), term, records, ms, wall_ms)
    }

    fn with(settings: Settings, term: u64, records: Vec<Record>, ms: u64, wall_ms: i64) -> Self {
        let mut scheduler = Scheduler::new("pool", term, settings);
        scheduler.configure(&configuration(None));
        scheduler.recover(&records, at(ms), at(ms), wall_ms);
        scheduler.register_worker(worker("w0"), at(ms));
        scheduler.on_registry_snapshot(at(ms));
        let mut owner = Self {
            scheduler,
            worker: None,
            records,
        };
        for action in owner.advance(ms, wall_ms) {
            if let Action::Renew { worker, .. } = action {
                owner.worker = Some(worker);
            }
        }
        owner
    }

    /// Advances the scheduler and commits all that it wants to store.
    fn advance(&mut self, ms: u64, wall_ms: i64) -> Vec<Action> {
        let mut actions = self.scheduler.advance(at(ms), wall_ms);
        while self.commit(ms) {
            actions.extend(self.scheduler.advance(at(ms), wall_ms));
        }
        actions
    }

    /// Commits the next batch; returns whether there was one.
    fn commit(&mut self, ms: u64) -> bool {
        let Some(batch) = self.scheduler.next_batch(at(ms)) else {
            return false;
        };
        let is_other = |record: &Record, table: &str, key: &String| {
            record.table != table || record.key != *key
        };
        for (table, key, value) in batch.writes {
            self.records.retain(|record| is_other(record, table, &key));
            self.records.push(Record {
                table: table.to_owned(),
                key,
                value,
            });
        }
        for (table, key) in batch.removes {
            self.records.retain(|record| is_other(record, table, &key));
        }
        self.scheduler.on_commit(at(ms));
        true
    }

    /// Handles a report of the worker.
    fn report(&mut self, completions: Vec<Completion>, ms: u64) {
        let worker = self.worker.expect("a worker");
        let report = Report {
            clock_ms: ms as i64,
            completions,
            ..Report::default()
        };
        self.scheduler.receive(worker, report, at(ms), 0, at(ms));
    }

    /// Returns the names of the tasks that `actions` start.
    fn started(&mut self, actions: &[Action], ms: u64) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for action in actions {
            if let Action::Start { worker, task, run } = action {
                let order = self.scheduler.order(*worker, *task, *run, at(ms));
                names.extend(order.map(|order| order.task));
            }
        }
        names
    }

    fn acknowledged(&mut self, ms: u64) -> u64 {
        let worker = self.worker.expect("a worker");
        self.scheduler
            .lease_renewal(worker, Duration::ZERO, false, at(ms))
            .expect("the worker")
            .acknowledged
    }
}

fn done(number: u64, occurrence: u32) -> Completion {
    Completion {
        number,
        task: Task {
            job: ID.to_owned(),
            occurrence,
            step: 0,
            index: 0,
        },
        run: 1,
        outcome: Outcome::Done,
        checkpoint: String::new(),
    }
}

/// A completion of an occurrence that the new owner had not opened was acknowledged and dropped, so
/// the occurrence was started again when it was due by the new owner's clock.
#[test]
fn completion_of_unopened_occurrence_is_not_dropped() {
    let mut first = Owner::new(1, Vec::new(), 1_000, 10_000);
    let submission = scheduled(100, 30_000, 1_000, 2);
    first
        .scheduler
        .submit(ID, "queue", submission, Duration::ZERO, at(1_000), 10_000);
    first.advance(1_100, 10_100);
    let mut second = Owner::new(2, first.records, 2_000, 11_000);
    second.report(vec![done(1, 0)], 2_050);
    second.advance(2_100, 11_100);
    assert_eq!(second.acknowledged(2_150), 1);
    let mut third = Owner::new(3, second.records, 3_000, 12_000);
    third.report(Vec::new(), 3_050);
    let mut started = BTreeSet::new();
    for ms in (3_100..30_000).step_by(50) {
        let actions = third.advance(ms, ms as i64 + 9_000);
        started.append(&mut third.started(&actions, ms));
        third.report(Vec::new(), ms);
    }
    let left = BTreeSet::from([format!("{ID}.1.0.0")]);
    assert_eq!(started, left, "occurrence 0 was done");
}

/// A completion of an occurrence that can't be opened yet was acknowledged and dropped.
#[test]
fn completion_beyond_the_open_occurrences_waits_for_its_turn() {
    const PAST: u32 = 300;
    const EARLY: u32 = 200;
    let mut first = Owner::new(1, Vec::new(), 1_000, 1_000_000);
    let submission = scheduled(100, 0, 1_000, PAST);
    let (now, wall_ms) = (at(1_000), 1_000_000);
    let scheduler = &mut first.scheduler;
    scheduler.submit(ID, "queue", submission, Duration::ZERO, now, wall_ms);
    first.advance(1_100, 1_000_100);
    let mut second = Owner::new(2, first.records, 2_000, 1_001_000);
    second.report(vec![done(1, EARLY)], 2_050);
    while second.commit(2_060) {}
    assert_eq!(second.acknowledged(2_070), 0, "it is not stored");
    let others = (0..EARLY).map(|k| done(u64::from(k) + 2, k));
    second.report(others.collect(), 2_080);
    let mut started = BTreeSet::new();
    for ms in (2_100..4_000).step_by(50) {
        let actions = second.advance(ms, ms as i64 + 999_000);
        started.append(&mut second.started(&actions, ms));
    }
    // Only a worker that has just reported is sent an acknowledgement.
    second.report(Vec::new(), 3_990);
    assert_eq!(second.acknowledged(4_000), u64::from(EARLY) + 1);
    assert!(!started.is_empty());
    assert!(!started.contains(&format!("{ID}.{EARLY}.0.0")));
}

/// Runs scheduled jobs under faults of owners, workers and the store; the model checks the
/// invariants at each start and acknowledgement.
fn simulate(seed: u64) -> usize {
    const JOBS: u64 = 8;
    let mut world = World::new(seed, 5, 6);
    world.run(500);
    for submitted in 0..30 {
        if submitted < JOBS {
            let first_ms = world.now_ms + world.pick(0..3_000) as i64 - 1_000;
            let interval_ms = world.pick(200..1_500) as i64;
            let (ms, count) = (world.pick(100..3_000), world.pick(1..12) as u32);
            let submission = scheduled(ms, first_ms, interval_ms, count);
            world.submit(&format!("{submitted:016x}"), submission);
        }
        match world.pick(0..12) {
            0 => world.start_owner(),
            1 => {
                world.kill_owner();
                world.run(400);
                world.start_owner();
            }
            2 => {
                world.pause_owner(true);
                world.run(700);
                world.start_owner();
            }
            3 => world.pause_owner(false),
            4 | 5 => {
                let number = world.pick(0..5) as usize;
                world.workers[number].is_reachable = !world.workers[number].is_reachable;
            }
            6 => {
                world.faults = Faults {
                    lost_answers: 0.1,
                    delayed_starts: 0.1,
                    slow_commits: 0.3,
                };
            }
            7 => world.faults = Faults::default(),
            8 => world.is_store_up = !world.is_store_up,
            9 => world.cut_owner_from_store(true),
            10 => world.cut_owner_from_store(false),
            _ => {}
        }
        world.run(500);
    }
    world.finish();
    world.invariants.starts
}

#[test]
fn invariants_hold_for_scheduled_jobs_under_faults() {
    let starts: usize = (0..150).map(simulate).sum();
    assert!(starts > 1_000, "only {starts} tasks were started");
}
