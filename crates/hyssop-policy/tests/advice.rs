//! Queues that need advice: their tasks start only on workers that the advice service allows.

mod model;

use hyssop_model::work::{AdviceTime, Submission};
use hyssop_platform::dialect::StartOutcome;
use hyssop_policy::owner::{
    Action, Admission, Notification, Scheduler, Settings, StartResult, TaskKey, WorkerKey,
};
use model::{configuration, job};
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new("pool", 1, Settings::default());
    scheduler.configure(&configuration(Some(AdviceTime {
        decision: at(100),
        per_worker: at(5),
    })));
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
    let query = scheduler.advice_query(step, &workers, at(1_020));
    let query = query.expect("a query");
    assert_eq!(query.step, format!("{ID}.0.0"));
    assert_eq!(query.workers.len(), 2);
    assert_eq!(
        advice(scheduler.advance(at(1_130), 0)),
        None,
        "one request at a time"
    );
    let good = vec![("w1".to_owned(), "ticket".to_owned())];
    scheduler.on_advice(step, Some((good, at(3_000))), at(1_200));
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
    assert!(scheduler.advice_query(step, &workers, at(1_020)).is_some());
    scheduler.on_advice(step, Some((good, at(100))), at(1_200));
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
    assert!(scheduler.advice_query(step, &workers, at(1_020)).is_some());
    scheduler.on_advice(step, None, at(1_100));
    assert_eq!(advice(scheduler.advance(at(1_210), 0)), None);
    assert!(advice(scheduler.advance(at(1_400), 0)).is_some());
}

/// Submits and stores a job under a number.
fn submit(scheduler: &mut Scheduler, number: u64, submission: Submission, now: Duration) {
    let id = format!("{number:016x}");
    let admission = scheduler.submit(&id, "queue", submission, Duration::ZERO, now, 1_000);
    assert_eq!(admission, Admission::Pending);
    assert!(scheduler.next_batch(now).is_some());
    scheduler.on_commit(now);
}

/// Sends the request that is due and answers it after `took` with tickets for all workers; returns the
/// step.
fn answer_next(scheduler: &mut Scheduler, now: Duration, took: Duration) -> TaskKey {
    let (step, workers) = advice(scheduler.advance(now, 0)).expect("an advice request");
    let query = scheduler.advice_query(step, &workers, now);
    let ids = query.expect("a query").workers.into_iter();
    let good = ids.map(|id| (id, "ticket".to_owned())).collect();
    scheduler.on_advice(step, Some((good, at(3_000))), now + took);
    step
}

/// A ticket expired while its start waited for a connection to the worker, and the start was sent without
/// it and rejected.
#[test]
fn start_whose_ticket_has_expired_is_not_sent() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    answer_next(&mut scheduler, at(1_020), at(100));
    let (worker, task, run) = start(scheduler.advance(at(1_130), 0)).expect("a start");
    assert_eq!(scheduler.order(worker, task, run, at(5_000)), None);
    let request = advice(scheduler.advance(at(5_010), 0));
    assert!(request.is_some(), "the task waits for a new ticket");
}

/// Workers that had ended while a request waited were named in it.
#[test]
fn request_names_only_workers_that_take_tasks_when_it_is_sent() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let (step, workers) = advice(scheduler.advance(at(1_020), 0)).expect("an advice request");
    scheduler.on_worker_terminated("w0", at(2_000), at(2_000));
    let query = scheduler.advice_query(step, &workers, at(2_010));
    assert_eq!(query.expect("a query").workers, ["w1"]);
}

/// Steps whose tickets were of no use were asked about again and again, before all others.
#[test]
fn step_whose_tickets_bring_no_start_comes_after_others() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let rejected = answer_next(&mut scheduler, at(1_020), at(100));
    submit(&mut scheduler, 1, job(1, 1, 500), at(1_130));
    let actions = scheduler.advance(at(1_140), 0);
    let (worker, task, run) = start(actions.clone()).expect("a start");
    let rejection = StartResult::Answered(StartOutcome::NoTicket);
    scheduler.on_start_result(worker, task, run, rejection, at(1_150));
    let (next, _) = advice(actions).expect("an advice request");
    assert_ne!(next, rejected);
    assert!(scheduler.advice_query(next, &[], at(1_150)).is_none());
    scheduler.on_advice_not_needed(next);
    let (next, _) = advice(scheduler.advance(at(1_160), 0)).expect("an advice request");
    assert_ne!(next, rejected, "the other step comes first");
}

/// A step that no free worker could run was asked about before one that could start at once.
#[test]
fn step_with_room_comes_before_one_that_waits_for_capacity() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let mut large = job(1, 1, 500);
    large.steps[0].need.memory = u64::MAX / 2;
    let first = answer_next(&mut scheduler, at(1_020), at(100));
    let mut gang = job(1, 40, 500);
    gang.steps[0].gang = true;
    submit(&mut scheduler, 1, gang, at(1_130));
    submit(&mut scheduler, 2, large, at(1_130));
    submit(&mut scheduler, 3, job(1, 1, 900), at(1_130));
    let (next, _) = advice(scheduler.advance(at(1_140), 0)).expect("an advice request");
    assert_ne!(next, first);
    let query = scheduler.advice_query(next, &[WorkerKey(0)], at(1_140));
    assert_eq!(query.expect("a query").step, format!("{:016x}.0.0", 3));
}

/// A service that was slower than configured never answered in time, as the timeout stayed the same.
#[test]
fn timeout_grows_while_requests_fail() {
    let mut scheduler = scheduler();
    register_workers_and_submit(&mut scheduler);
    let mut now = at(1_020);
    let mut timeouts = Vec::new();
    for _ in 0..3 {
        let (step, workers) = advice(scheduler.advance(now, 0)).expect("an advice request");
        let query = scheduler.advice_query(step, &workers, now);
        timeouts.push(query.expect("a query").timeout);
        scheduler.on_advice(step, None, now);
        now += at(300);
    }
    assert!(timeouts.is_sorted_by(|a, b| a < b), "{timeouts:?}");
}
