//! Tasks of queues with advice start only on workers that the advice service allows.

mod model;

use hyssop_policy::owner::{Action, Notification, Scheduler, Settings, TaskKey, WorkerKey};
use model::{configuration, job};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn owner() -> Scheduler {
    let mut owner = Scheduler::new("pool", 1, Settings::default());
    owner.configure(&configuration(true));
    owner
}

/// Lists two workers, lets them report and stores a job of one task.
fn ready(owner: &mut Scheduler) {
    for id in ["w0", "w1"] {
        owner.register_worker(model::worker(id), at(1_000));
    }
    for key in [WorkerKey(0), WorkerKey(1)] {
        let report = hyssop_model::work::Report {
            clock_ms: 1_000,
            ..Default::default()
        };
        owner.receive(key, report, at(1_000), 0, at(1_000));
    }
    owner.submit(
        ID,
        "queue",
        job(1, 1, 500),
        Duration::ZERO,
        at(1_000),
        1_000,
    );
    assert!(owner.next_batch(at(1_000)).is_some());
    assert_eq!(
        owner.on_commit(at(1_010)),
        [Notification::Accepted(ID.to_owned())]
    );
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn advice(actions: Vec<Action>) -> Option<(TaskKey, Vec<WorkerKey>)> {
    actions.into_iter().find_map(|action| match action {
        Action::RequestAdvice { step, workers } => Some((step, workers)),
        _ => None,
    })
}

fn start(actions: Vec<Action>) -> Option<(WorkerKey, TaskKey, u64)> {
    actions.into_iter().find_map(|action| match action {
        Action::Start { worker, task, run } => Some((worker, task, run)),
        _ => None,
    })
}

#[test]
fn a_task_waits_for_advice_and_bears_the_ticket() {
    let mut owner = owner();
    ready(&mut owner);
    let (step, workers) = advice(owner.advance(at(1_020), 0)).expect("advice is sought");
    assert_eq!(workers.len(), 2);
    let (name, ids) = owner.query_for(step, &workers).expect("names");
    assert_eq!(name, format!("{ID}.0.0"));
    assert_eq!(ids.len(), 2);
    assert_eq!(
        advice(owner.advance(at(1_130), 0)),
        None,
        "one call at a time"
    );
    let good = vec![("w1".to_owned(), "ticket".to_owned())];
    owner.on_advice(
        step,
        &workers,
        Some((good, at(3_000))),
        at(1_020),
        at(1_200),
    );
    let (worker, task, run) = start(owner.advance(at(1_210), 0)).expect("a start");
    assert_eq!(worker, WorkerKey(1));
    let order = owner.order(worker, task, run, at(1_210)).expect("an order");
    assert_eq!(order.ticket.as_deref(), Some("ticket"));
}

#[test]
fn a_ticket_that_has_run_out_is_asked_for_anew() {
    let mut owner = owner();
    ready(&mut owner);
    let (step, workers) = advice(owner.advance(at(1_020), 0)).expect("advice is sought");
    let good = vec![("w1".to_owned(), "ticket".to_owned())];
    owner.on_advice(step, &workers, Some((good, at(100))), at(1_020), at(1_200));
    let actions = owner.advance(at(1_310), 0);
    assert_eq!(start(actions.clone()), None);
    assert_eq!(advice(actions).expect("advice").1, [WorkerKey(1)]);
}

#[test]
fn a_call_without_answer_is_made_again_later() {
    let mut owner = owner();
    ready(&mut owner);
    let (step, workers) = advice(owner.advance(at(1_020), 0)).expect("advice is sought");
    owner.on_advice(step, &workers, None, at(1_020), at(1_100));
    assert_eq!(advice(owner.advance(at(1_210), 0)), None);
    assert!(advice(owner.advance(at(1_400), 0)).is_some());
}
