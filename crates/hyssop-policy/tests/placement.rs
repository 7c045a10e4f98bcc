//! The effect of each property of a step on where and when its tasks start.

mod model;

use hyssop_model::work::{
    Completion, Outcome, Report, Resources, Schedule, Step, Submission, Task,
};
use hyssop_platform::dialect::StartOutcome;
use hyssop_policy::owner::{Action, Scheduler, Settings, StartResult, TaskKey, WorkerKey};
use model::configuration;
use std::collections::BTreeSet;
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Creates a scheduler with `workers` registered workers of 8 cores each.
///
/// Each is in a rack of its own except the last two, which share one. The last has an accelerator
/// and the label `big`.
fn scheduler(workers: usize) -> Scheduler {
    let mut scheduler = Scheduler::new("pool", 1, Settings::default());
    scheduler.configure(&configuration(None));
    for number in 0..workers {
        let mut listing = model::worker(&format!("w{number}"));
        if number + 2 >= workers {
            listing.labels = vec!["kind".to_owned(), "r-shared".to_owned()];
        }
        if number + 1 == workers {
            listing.labels.insert(0, "big".to_owned());
            listing.capacity.accelerators = 1;
        }
        scheduler.register_worker(listing, at(1_000));
        let report = Report {
            clock_ms: 1_000,
            ..Report::default()
        };
        scheduler.receive(WorkerKey(number as u32), report, at(1_000), 0, at(1_000));
    }
    scheduler
}

fn step(count: u32, cores: u64) -> Step {
    Step {
        count,
        need: Resources {
            cpu: cores * 1_000,
            memory: 1,
            accelerators: 0,
        },
        estimate_ms: 500,
        ..Step::default()
    }
}

fn submit(scheduler: &mut Scheduler, step: Step) -> Vec<(WorkerKey, TaskKey, u64)> {
    let submission = Submission {
        specification: "s".to_owned(),
        steps: vec![step],
        schedule: None,
        account: None,
    };
    scheduler.submit(ID, "queue", submission, Duration::ZERO, at(1_000), 1_000);
    commit(scheduler, 1_000);
    starts(scheduler, 1_020)
}

fn commit(scheduler: &mut Scheduler, ms: u64) {
    while scheduler.next_batch(at(ms)).is_some() {
        scheduler.on_commit(at(ms));
    }
}

fn starts(scheduler: &mut Scheduler, ms: u64) -> Vec<(WorkerKey, TaskKey, u64)> {
    let actions = scheduler.advance(at(ms), ms as i64).into_iter();
    let start = |action| match action {
        Action::Start { worker, task, run } => Some((worker, task, run)),
        _ => None,
    };
    actions.filter_map(start).collect()
}

fn workers(starts: &[(WorkerKey, TaskKey, u64)]) -> BTreeSet<WorkerKey> {
    starts.iter().map(|(worker, ..)| *worker).collect()
}

#[test]
fn starts_only_on_workers_with_required_label() {
    let mut scheduler = scheduler(4);
    let labelled = Step {
        label: Some("big".to_owned()),
        ..step(3, 1)
    };
    let starts = submit(&mut scheduler, labelled);
    assert_eq!(starts.len(), 3);
    assert_eq!(workers(&starts), BTreeSet::from([WorkerKey(3)]));
}

#[test]
fn limits_starts_to_free_accelerators() {
    let mut scheduler = scheduler(4);
    let mut accelerated = step(2, 1);
    accelerated.need.accelerators = 1;
    let starts = submit(&mut scheduler, accelerated);
    assert_eq!(workers(&starts), BTreeSet::from([WorkerKey(3)]));
    assert_eq!(starts.len(), 1, "the pool has one accelerator");
}

#[test]
fn prefers_rack_of_data_without_requiring_it() {
    let mut scheduler = scheduler(4);
    let near_data = Step {
        rack: Some("r-shared".to_owned()),
        ..step(3, 8)
    };
    let starts = submit(&mut scheduler, near_data);
    assert_eq!(starts.len(), 3);
    assert!(workers(&starts).is_superset(&BTreeSet::from([WorkerKey(2), WorkerKey(3)])));
}

#[test]
fn places_one_rack_step_within_one_rack() {
    let mut scheduler = scheduler(6);
    let in_one_rack = Step {
        one_rack: true,
        rack: Some("r-shared".to_owned()),
        ..step(2, 8)
    };
    let starts = submit(&mut scheduler, in_one_rack);
    assert_eq!(starts.len(), 2);
}

#[test]
fn respects_max_tasks_per_worker() {
    let mut scheduler = scheduler(3);
    let limited = Step {
        max_per_worker: 1,
        ..step(5, 1)
    };
    let starts = submit(&mut scheduler, limited);
    assert_eq!((starts.len(), workers(&starts).len()), (3, 3));
}

#[test]
fn gang_starts_all_tasks_with_one_run_number_or_none() {
    let gang = |count| Step {
        gang: true,
        ..step(count, 8)
    };
    let whole = submit(&mut scheduler(3), gang(3));
    let numbers: BTreeSet<u64> = whole.iter().map(|(_, _, run)| *run).collect();
    assert_eq!((whole.len(), numbers.len()), (3, 1));
    assert!(submit(&mut scheduler(3), gang(4)).is_empty());
}

/// A gang that waited for room used up a run number in each placement pass, and after a failover its starts had
/// lower ones, which workers rejected.
#[test]
fn gang_that_waits_for_room_uses_up_no_run_numbers() {
    const RUNS_PER_TERM: u64 = 10_000;
    let gang = Step {
        gang: true,
        ..step(3, 8)
    };
    let mut scheduler = scheduler(2);
    assert!(submit(&mut scheduler, gang).is_empty());
    // As many passes as a term has numbers, at the interval at which waiting tasks are tried again.
    let end_ms = 2_000 + RUNS_PER_TERM * 100;
    for ms in (2_000..end_ms).step_by(100) {
        scheduler.advance(at(ms), ms as i64);
    }
    scheduler.register_worker(model::worker("w9"), at(end_ms));
    let report = Report {
        clock_ms: 1_000,
        ..Report::default()
    };
    scheduler.receive(WorkerKey(2), report, at(end_ms), 0, at(end_ms));
    while scheduler.next_batch(at(end_ms)).is_some() {
        scheduler.on_commit(at(end_ms));
    }
    let runs: Vec<u64> = (end_ms..end_ms + 300)
        .step_by(20)
        .flat_map(|ms| scheduler.advance(at(ms), ms as i64))
        .filter_map(|action| match action {
            Action::Start { run, .. } => Some(run),
            _ => None,
        })
        .collect();
    assert_eq!(runs, [1, 1, 1]);
}

#[test]
fn best_effort_tasks_reserve_no_cpu() {
    let best_effort = Step {
        is_best_effort: true,
        ..step(20, 8)
    };
    assert_eq!(submit(&mut scheduler(2), best_effort).len(), 20);
}

#[test]
fn stopped_task_resumes_from_checkpoint() {
    let mut scheduler = scheduler(2);
    let checkpointed = Step {
        checkpoints: true,
        ..step(1, 1)
    };
    let (worker, task, run) = submit(&mut scheduler, checkpointed)[0];
    let done = StartResult::Answered(StartOutcome::Done(Some(1_030)));
    scheduler.on_start_result(worker, task, run, done, at(1_030));
    let report = Report {
        clock_ms: 1_500,
        completions: vec![Completion {
            number: 1,
            task: Task {
                job: ID.to_owned(),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            run,
            outcome: Outcome::Stopped,
            checkpoint: "00ff".to_owned(),
        }],
        ..Report::default()
    };
    scheduler.receive(worker, report, at(1_490), 0, at(1_500));
    let (worker, task, next_run) = starts(&mut scheduler, 1_510)[0];
    assert!(next_run > run);
    let order = scheduler
        .order(worker, task, next_run, at(1_510))
        .expect("an order");
    assert_eq!(order.checkpoint, "00ff");
}

#[test]
fn scheduled_occurrences_start_when_due() {
    let mut scheduler = scheduler(2);
    let submission = Submission {
        specification: "s".to_owned(),
        steps: vec![step(1, 1)],
        schedule: Some(Schedule {
            first_ms: 5_000,
            interval_ms: 2_000,
            count: 2,
        }),
        account: None,
    };
    scheduler.submit(ID, "queue", submission, Duration::ZERO, at(1_000), 1_000);
    commit(&mut scheduler, 1_000);
    assert!(
        starts(&mut scheduler, 4_990).is_empty(),
        "the first occurrence is not due"
    );
    assert!(
        starts(&mut scheduler, 5_030).is_empty(),
        "the first occurrence is not stored"
    );
    commit(&mut scheduler, 5_030);
    let first = starts(&mut scheduler, 5_040);
    assert_eq!(first.len(), 1);
    let (worker, task, run) = first[0];
    let done = StartResult::Answered(StartOutcome::Done(Some(5_050)));
    scheduler.on_start_result(worker, task, run, done, at(5_050));
    let second = starts(&mut scheduler, 7_050);
    assert_eq!(second[0].1.occurrence, 1, "the first occurrence still runs");
    assert!(starts(&mut scheduler, 20_000)
        .iter()
        .all(|(_, task, _)| task.occurrence < 2));
}

/// Reports the end of a run.
fn end(
    scheduler: &mut Scheduler,
    (worker, task, run): (WorkerKey, TaskKey, u64),
    number: u64,
    outcome: Outcome,
) {
    let report = Report {
        clock_ms: 1_500,
        completions: vec![Completion {
            number,
            task: Task {
                job: ID.to_owned(),
                occurrence: 0,
                step: 0,
                index: task.index,
            },
            run,
            outcome,
            checkpoint: String::new(),
        }],
        ..Report::default()
    };
    scheduler.receive(worker, report, at(1_490), 0, at(1_500));
}

/// A task that had failed on the only worker with its label was never started again.
#[test]
fn task_restarts_on_the_only_worker_that_can_take_it() {
    let mut scheduler = scheduler(4);
    let labelled = Step {
        label: Some("big".to_owned()),
        ..step(1, 1)
    };
    let first = submit(&mut scheduler, labelled)[0];
    end(&mut scheduler, first, 1, Outcome::Failed);
    let again = starts(&mut scheduler, 1_510);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, first.0);
}

#[test]
fn task_restarts_on_another_worker_than_that_on_which_it_failed() {
    let mut scheduler = scheduler(2);
    let first = submit(&mut scheduler, step(1, 1))[0];
    end(&mut scheduler, first, 1, Outcome::Failed);
    let again = starts(&mut scheduler, 1_510);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, first.0);
}

/// A task that waited for another worker than that on which it had failed held back the other tasks
/// of its step, and its wait had no end.
#[test]
fn task_that_waits_for_another_worker_holds_back_no_other_task() {
    let mut scheduler = scheduler(2);
    let mut placed = submit(&mut scheduler, step(16, 1));
    placed.sort();
    assert_eq!(placed.len(), 16, "both workers are full");
    let on_first: Vec<_> = placed.iter().filter(|(w, ..)| w.0 == 0).collect();
    end(&mut scheduler, *on_first[0], 1, Outcome::Failed);
    end(&mut scheduler, *on_first[1], 2, Outcome::Stopped);
    let again = starts(&mut scheduler, 1_510);
    assert_eq!(again.len(), 1, "the second task starts at once");
    assert_eq!(again[0].1, on_first[1].1);
    let again = starts(&mut scheduler, 4_100);
    let is_failed_task = |(worker, task, _): &&(WorkerKey, TaskKey, u64)| {
        *worker == on_first[0].0 && *task == on_first[0].1
    };
    assert_eq!(again.iter().filter(is_failed_task).count(), 1);
}

/// Members of a gang that had reported different checkpoints were started with different ones.
#[test]
fn gang_resumes_with_one_checkpoint() {
    let mut scheduler = scheduler(2);
    let gang = Step {
        gang: true,
        ..step(3, 1)
    };
    let placed = submit(&mut scheduler, gang);
    assert_eq!(placed.len(), 3);
    let ended = |(number, (_, task, run)): (u64, &(WorkerKey, TaskKey, u64))| Completion {
        number,
        task: Task {
            job: ID.to_owned(),
            occurrence: 0,
            step: 0,
            index: task.index,
        },
        run: *run,
        outcome: Outcome::Stopped,
        checkpoint: ["", "00ff", "01ff"][task.index as usize].to_owned(),
    };
    for worker in workers(&placed) {
        let here = placed.iter().filter(|(key, ..)| *key == worker);
        let report = Report {
            clock_ms: 1_500,
            completions: (1..).zip(here).map(ended).collect(),
            ..Report::default()
        };
        scheduler.receive(worker, report, at(1_490), 0, at(1_500));
    }
    let again = starts(&mut scheduler, 1_510);
    assert_eq!(again.len(), 3);
    let order = |(worker, task, run): (WorkerKey, TaskKey, u64)| {
        let order = scheduler.order(worker, task, run, at(1_510));
        order.expect("an order").checkpoint
    };
    let checkpoints: BTreeSet<String> = again.into_iter().map(order).collect();
    assert_eq!(checkpoints, BTreeSet::from(["01ff".to_owned()]));
}

/// Tasks that need nothing all fit on one worker; the start of each takes memory until it is answered.
#[test]
fn tasks_without_needs_are_not_all_started_at_once() {
    const MOST: usize = 128;
    let idle = |count: u32| Step {
        need: Resources::default(),
        ..step(count, 0)
    };
    let mut scheduler = scheduler(2);
    let first = submit(&mut scheduler, idle(5_000));
    assert_eq!(first.len(), 2 * MOST);
    for (worker, task, run) in first {
        let done = StartResult::Answered(StartOutcome::Done(None));
        scheduler.on_start_result(worker, task, run, done, at(1_030));
    }
    assert_eq!(starts(&mut scheduler, 1_200).len(), 2 * MOST);
}

/// A gang that was started only in part would wait for its other members for ever.
#[test]
fn gang_of_many_tasks_without_needs_is_started_whole() {
    const COUNT: u32 = 1_500;
    let gang = Step {
        need: Resources::default(),
        gang: true,
        ..step(COUNT, 0)
    };
    assert_eq!(submit(&mut scheduler(2), gang).len(), COUNT as usize);
}
