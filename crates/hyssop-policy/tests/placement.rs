//! What each property of a step means for where and when its tasks start.

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

/// Makes an owner of workers with 8 cores each, one a rack but for the last two, which share one;
/// the last has an accelerator and the label `big`.
fn owner(workers: usize) -> Scheduler {
    let mut owner = Scheduler::new("pool", 1, Settings::default());
    owner.configure(&configuration(false));
    for number in 0..workers {
        let mut listing = model::worker(&format!("w{number}"));
        if number + 2 >= workers {
            listing.labels = vec!["kind".to_owned(), "r-shared".to_owned()];
        }
        if number + 1 == workers {
            listing.labels.insert(0, "big".to_owned());
            listing.capacity.accelerators = 1;
        }
        owner.register_worker(listing, at(1_000));
        let report = Report {
            clock_ms: 1_000,
            ..Report::default()
        };
        owner.receive(WorkerKey(number as u32), report, at(1_000), 0, at(1_000));
    }
    owner
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

fn hand_in(owner: &mut Scheduler, step: Step) -> Vec<(WorkerKey, TaskKey, u64)> {
    let submission = Submission {
        specification: "s".to_owned(),
        steps: vec![step],
        schedule: None,
    };
    owner.submit(ID, "queue", submission, Duration::ZERO, at(1_000), 1_000);
    store(owner, 1_000);
    starts(owner, 1_020)
}

fn store(owner: &mut Scheduler, ms: u64) {
    while owner.next_batch(at(ms)).is_some() {
        owner.on_commit(at(ms));
    }
}

fn starts(owner: &mut Scheduler, ms: u64) -> Vec<(WorkerKey, TaskKey, u64)> {
    let actions = owner.advance(at(ms), ms as i64).into_iter();
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
fn a_label_is_required() {
    let mut owner = owner(4);
    let labelled = Step {
        label: Some("big".to_owned()),
        ..step(3, 1)
    };
    let starts = hand_in(&mut owner, labelled);
    assert_eq!(starts.len(), 3);
    assert_eq!(workers(&starts), BTreeSet::from([WorkerKey(3)]));
}

#[test]
fn accelerators_are_counted() {
    let mut owner = owner(4);
    let mut needing = step(2, 1);
    needing.need.accelerators = 1;
    let starts = hand_in(&mut owner, needing);
    assert_eq!(workers(&starts), BTreeSet::from([WorkerKey(3)]));
    assert_eq!(starts.len(), 1, "there is one accelerator");
}

#[test]
fn the_rack_of_the_data_is_preferred_and_not_required() {
    let mut owner = owner(4);
    let near = Step {
        rack: Some("r-shared".to_owned()),
        ..step(3, 8)
    };
    let starts = hand_in(&mut owner, near);
    assert_eq!(starts.len(), 3);
    assert!(workers(&starts).is_superset(&BTreeSet::from([WorkerKey(2), WorkerKey(3)])));
}

#[test]
fn tasks_that_need_one_rack_go_together() {
    let mut owner = owner(6);
    let together = Step {
        one_rack: true,
        rack: Some("r-shared".to_owned()),
        ..step(2, 8)
    };
    let starts = hand_in(&mut owner, together);
    assert_eq!(starts.len(), 2);
}

#[test]
fn no_more_tasks_of_a_step_on_a_worker_than_it_says() {
    let mut owner = owner(3);
    let apart = Step {
        max_per_worker: 1,
        ..step(5, 1)
    };
    let starts = hand_in(&mut owner, apart);
    assert_eq!((starts.len(), workers(&starts).len()), (3, 3));
}

#[test]
fn a_gang_starts_whole_with_one_number_or_not_at_all() {
    let gang = |count| Step {
        gang: true,
        ..step(count, 8)
    };
    let whole = hand_in(&mut owner(3), gang(3));
    let numbers: BTreeSet<u64> = whole.iter().map(|(_, _, run)| *run).collect();
    assert_eq!((whole.len(), numbers.len()), (3, 1));
    assert!(hand_in(&mut owner(3), gang(4)).is_empty());
}

#[test]
fn filling_tasks_take_no_processor() {
    let filling = Step {
        is_best_effort: true,
        ..step(20, 8)
    };
    assert_eq!(hand_in(&mut owner(2), filling).len(), 20);
}

#[test]
fn a_stopped_task_goes_on_from_its_checkpoint() {
    let mut owner = owner(2);
    let saving = Step {
        checkpoints: true,
        ..step(1, 1)
    };
    let (worker, task, run) = hand_in(&mut owner, saving)[0];
    let done = StartResult::Answered(StartOutcome::Done(Some(1_030)));
    owner.on_start_result(worker, task, run, done, at(1_030));
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
    owner.receive(worker, report, at(1_490), 0, at(1_500));
    let (worker, task, again) = starts(&mut owner, 1_510)[0];
    assert!(again > run);
    let order = owner
        .order(worker, task, again, at(1_510))
        .expect("an order");
    assert_eq!(order.checkpoint, "00ff");
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut owner = owner(2);
    let submission = Submission {
        specification: "s".to_owned(),
        steps: vec![step(1, 1)],
        schedule: Some(Schedule {
            first_ms: 5_000,
            interval_ms: 2_000,
            count: 2,
        }),
    };
    owner.submit(ID, "queue", submission, Duration::ZERO, at(1_000), 1_000);
    store(&mut owner, 1_000);
    assert!(starts(&mut owner, 4_990).is_empty(), "not before its time");
    let first = starts(&mut owner, 5_040);
    assert_eq!(first.len(), 1);
    let (worker, task, run) = first[0];
    let done = StartResult::Answered(StartOutcome::Done(Some(5_050)));
    owner.on_start_result(worker, task, run, done, at(5_050));
    let second = starts(&mut owner, 7_050);
    assert_eq!(second[0].1.occurrence, 1, "though the first has not ended");
    assert!(starts(&mut owner, 20_000)
        .iter()
        .all(|(_, task, _)| task.occurrence < 2));
}
