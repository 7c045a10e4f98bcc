//! Jobs of a queue that the configuration no longer has.

mod model;

use hyssop_model::work::{Completion, Outcome, Phase, Report};
use hyssop_policy::owner::{Action, Scheduler, Settings, WorkerKey};
use model::{configuration, job, worker, FakeStore};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn commit(scheduler: &mut Scheduler, store: &mut FakeStore, ms: u64) {
    while let Some(batch) = scheduler.next_batch(at(ms)) {
        store.commit(0, &batch);
        scheduler.on_commit(at(ms));
    }
}

/// Lets the only worker report `completions`.
fn report(scheduler: &mut Scheduler, completions: Vec<Completion>, ms: u64) {
    let report = Report {
        clock_ms: ms as i64,
        incarnation: Some(worker("w0").incarnation),
        completions,
        ..Report::default()
    };
    scheduler.receive(WorkerKey(0), report, at(ms), 0, at(ms));
}

/// Returns the number of the run that is started until `ms`.
fn started_run(scheduler: &mut Scheduler, from_ms: u64, ms: u64) -> Option<u64> {
    (from_ms..ms).step_by(50).find_map(|now| {
        let actions = scheduler.advance(at(now), now as i64);
        actions.into_iter().find_map(|action| match action {
            Action::Start { run, .. } => Some(run),
            _ => None,
        })
    })
}

fn failure(number: u64, run: u64) -> Completion {
    Completion {
        number,
        task: format!("{ID}.0.0.0").parse().expect("a task name"),
        run,
        outcome: Outcome::Failed,
        checkpoint: String::new(),
    }
}

/// A new owner knew no rules of a removed queue, so its jobs failed after one attempt.
#[test]
fn job_of_a_removed_queue_keeps_its_attempts_after_a_failover() {
    let mut store = FakeStore::default();
    let mut first = Scheduler::new("pool", 1, Settings::default());
    first.configure(&configuration(false));
    first.register_worker(worker("w0"), at(1_000));
    report(&mut first, Vec::new(), 1_000);
    first.submit(
        ID,
        "queue",
        job(1, 1, 900),
        Duration::ZERO,
        at(1_000),
        1_000,
    );
    commit(&mut first, &mut store, 1_000);
    let run = started_run(&mut first, 1_010, 1_200).expect("a start");

    let mut second = Scheduler::new("pool", 2, Settings::default());
    second.recover(&store.records(), at(2_000), at(2_000), 2_000);
    second.register_worker(worker("w0"), at(2_000));
    second.on_registry_snapshot(at(2_000));
    report(&mut second, vec![failure(1, run)], 2_010);
    commit(&mut second, &mut store, 2_010);
    assert_eq!(
        second.phase(ID),
        Some(Phase::Running),
        "one of two attempts"
    );

    let run = started_run(&mut second, 2_020, 8_000).expect("the second attempt");
    report(&mut second, vec![failure(2, run)], 8_100);
    commit(&mut second, &mut store, 8_100);
    assert_eq!(second.phase(ID), Some(Phase::Failed));
}
