//! Queues that need advice: their tasks start only on workers that the advice service allows.

mod model;

use hyssop_policy::owner::{Action, Notification, Scheduler, Settings, TaskKey, WorkerKey};
use model::{configuration, job};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new("pool", 1, Settings::default());
    scheduler.configure(&configuration(true));
    scheduler
}

/// Registers two workers with their first reports, and submits and commits a job of one task.
fn register_workers_and_submit(scheduler: &mut Scheduler) {
    for id in ["w0", "w1"] {
        scheduler.register_worker(model::worker(id), at(1_000));
    }
    for key in [WorkerKey(0), WorkerKey(1)] {
        let report = hyssop_model::work::Report {
            clock_ms: 1_000,
            ..Default::default()
        };
        scheduler.receive(key, report, at(1_000), 0, at(1_000));
    }
    scheduler.submit(
        ID,
        "queue",
        job(1, 1, 500),
        Duration::ZERO,
        at(1_000),
        1_000,
    );
    assert!(scheduler.next_batch(at(1_000)).is_some());
    assert_eq!(
        scheduler.on_commit(at(1_010)),
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
fn start_waits_for_advice_and_carries_ticket() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let (step, workers) = advice(scheduler.advance(at(1_020), 0)).expect("an advice request");
    assert_eq!(workers.len(), 2);
    let (name, ids) = scheduler.query_for(step, &workers).expect("a query");
    assert_eq!(name, format!("{ID}.0.0"));
    assert_eq!(ids.len(), 2);
    assert_eq!(
        advice(scheduler.advance(at(1_130), 0)),
        None,
        "one request at a time"
    );
    let good = vec![("w1".to_owned(), "ticket".to_owned())];
    scheduler.on_advice(
        step,
        &workers,
        Some((good, at(3_000))),
        at(1_020),
        at(1_200),
    );
    let (worker, task, run) = start(scheduler.advance(at(1_210), 0)).expect("a start");
    assert_eq!(worker, WorkerKey(1));
    let order = scheduler
        .order(worker, task, run, at(1_210))
        .expect("an order");
    assert_eq!(order.ticket.as_deref(), Some("ticket"));
}

#[test]
fn expired_ticket_is_requested_again() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let (step, workers) = advice(scheduler.advance(at(1_020), 0)).expect("an advice request");
    let good = vec![("w1".to_owned(), "ticket".to_owned())];
    scheduler.on_advice(step, &workers, Some((good, at(100))), at(1_020), at(1_200));
    let actions = scheduler.advance(at(1_310), 0);
    assert_eq!(start(actions.clone()), None);
    assert_eq!(
        advice(actions).expect("an advice request").1,
        [WorkerKey(1)]
    );
}

#[test]
fn unanswered_advice_request_is_retried() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let (step, workers) = advice(scheduler.advance(at(1_020), 0)).expect("an advice request");
    scheduler.on_advice(step, &workers, None, at(1_020), at(1_100));
    assert_eq!(advice(scheduler.advance(at(1_210), 0)), None);
    assert!(advice(scheduler.advance(at(1_400), 0)).is_some());
}
