//! What the scheduler concludes from the answers to its starts.

mod model;

use hyssop_model::work::{Completion, Outcome, Phase, Report, Task};
use hyssop_platform::dialect::StartOutcome;
use hyssop_policy::owner::{Action, Scheduler, Settings, StartResult, TaskKey, WorkerKey};
use model::{configuration, job};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(completions: Vec<Completion>) -> Report {
    Report {
        clock_ms: 1_000,
        completions,
        ..Report::default()
    }
}

/// Stores all changes.
fn commit(scheduler: &mut Scheduler, ms: u64) {
    while scheduler.next_batch(at(ms)).is_some() {
        scheduler.on_commit(at(ms));
    }
}

/// Returns a scheduler with two workers that has started the only task of a job, and that start.
fn started() -> (Scheduler, WorkerKey, TaskKey, u64) {
    let mut scheduler = Scheduler::new("pool", 1, Settings::default());
    scheduler.configure(&configuration(None));
    for number in 0..2 {
        scheduler.register_worker(model::worker(&format!("w{number}")), at(1_000));
        scheduler.receive(
            WorkerKey(number),
            report(Vec::new()),
            at(1_000),
            0,
            at(1_000),
        );
    }
    commit(&mut scheduler, 1_000);
    scheduler.submit(
        ID,
        "queue",
        job(1, 1, 200),
        Duration::ZERO,
        at(1_000),
        1_000,
    );
    commit(&mut scheduler, 1_000);
    let start = scheduler
        .advance(at(1_020), 1_020)
        .into_iter()
        .find_map(|action| match action {
            Action::Start { worker, task, run } => Some((worker, task, run)),
            _ => None,
        });
    let (worker, task, run) = start.expect("the task starts");
    (scheduler, worker, task, run)
}

fn is_start(action: &Action) -> bool {
    matches!(action, Action::Start { .. })
}

/// The first order of a run took effect while its answer was under way; the run ended, and a second
/// order of the same run was answered as stale. The task was then started on another worker, though
/// it was done (tests/links.rs: late_answers_of_workers_repeat_no_task, 3 of 20 runs).
#[test]
fn stale_answer_does_not_start_the_task_elsewhere() {
    let (mut scheduler, worker, task, run) = started();
    let stale = StartResult::Answered(StartOutcome::Stale);
    scheduler.on_start_result(worker, task, run, stale, at(1_300));
    let actions = scheduler.advance(at(1_400), 1_400);
    assert!(!actions.iter().any(is_start), "{actions:?}");
    let completion = Completion {
        number: 1,
        task: Task {
            job: ID.to_owned(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run,
        outcome: Outcome::Done,
        checkpoint: String::new(),
    };
    scheduler.receive(worker, report(vec![completion]), at(1_450), 0, at(1_460));
    commit(&mut scheduler, 1_470);
    assert_eq!(scheduler.phase(ID), Some(Phase::Done));
    for ms in (1_500..8_000).step_by(100) {
        let actions = scheduler.advance(at(ms), ms as i64);
        assert!(!actions.iter().any(is_start), "{actions:?}");
    }
}

/// A run that the worker knows only as stopped is started again after a report without it. The
/// worker won't start it any more, so it is not stopped: a worker that leaves orders unanswered
/// would delay the task until it answers the stop (qarafa-bottling scale-1).
#[test]
fn stale_answer_without_a_run_starts_the_task_again_without_a_stop() {
    let (mut scheduler, worker, task, run) = started();
    let stale = StartResult::Answered(StartOutcome::Stale);
    scheduler.on_start_result(worker, task, run, stale, at(1_300));
    // Requested before the answer, so it may miss the run's end.
    scheduler.receive(worker, report(Vec::new()), at(1_290), 0, at(1_305));
    let actions = scheduler.advance(at(1_310), 1_310);
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(
        !actions
            .iter()
            .any(|action| is_start(action) || is_stop(action)),
        "{actions:?}"
    );
    scheduler.receive(worker, report(Vec::new()), at(1_330), 0, at(1_340));
    let actions = scheduler.advance(at(1_500), 1_500);
    assert!(actions.iter().any(is_start), "{actions:?}");
}
