//! Pacing of best-effort tasks, which protects the tail latency of the serving tasks beside them.

mod model;

use hyssop_model::work::{Report, Resources, Running, Step, Submission, Task};
use hyssop_policy::owner::{Action, Scheduler};
use model::World;
use std::time::Duration;

const ID: &str = "00000000000000aa";

fn submission() -> Submission {
    let step = |is_best_effort: bool| Step {
        count: 1,
        need: Resources {
            cpu: 1_000,
            memory: 1,
            accelerators: 0,
        },
        is_long_running: true,
        max_tail_latency_ms: if is_best_effort { 0 } else { 100 },
        is_best_effort,
        ..Step::default()
    };
    Submission {
        specification: "lasts".to_owned(),
        steps: vec![step(false), step(true)],
        schedule: None,
        account: None,
    }
}

/// Reports both tasks at `at_ms`, the serving one with a tail latency of `tail_ms`, and returns the
/// ordered paces in percent.
fn report(scheduler: &mut Scheduler, at_ms: u64, tail_ms: f64) -> Vec<u32> {
    let key = hyssop_policy::owner::WorkerKey(0);
    let running = |step: u32, gauge: f64| Running {
        task: Task {
            job: ID.to_owned(),
            occurrence: 0,
            step,
            index: 0,
        },
        run: 1,
        checkpoint: String::new(),
        percent: 100.0,
        gauge: Some(gauge),
    };
    let report = Report {
        clock_ms: at_ms as i64,
        incarnation: None,
        running: vec![running(0, tail_ms), running(1, 900.0)],
        completions: Vec::new(),
        has_more_completions: false,
    };
    let at = Duration::from_millis(at_ms);
    scheduler.receive(key, report, at, 0, at);
    let paces = |action: Action| match action {
        Action::Pace { percent, .. } => Some(percent),
        _ => None,
    };
    scheduler
        .advance(at, at_ms as i64)
        .into_iter()
        .filter_map(paces)
        .collect()
}

#[test]
fn best_effort_tasks_back_off_fast_and_recover_slowly() {
    let mut world = World::new(1, 1, 8);
    world.run(200);
    world.submit(ID, submission());
    world.run(500);
    let scheduler = world.scheduler();
    assert!(
        report(scheduler, 10_000, 30.0).is_empty(),
        "far from the target"
    );
    assert_eq!(report(scheduler, 10_500, 80.0), [50]);
    assert!(
        report(scheduler, 10_600, 80.0).is_empty(),
        "the gauge may predate the last change"
    );
    assert_eq!(report(scheduler, 11_000, 90.0), [25]);
    assert_eq!(report(scheduler, 11_500, 90.0), [12]);
    assert_eq!(report(scheduler, 12_000, 90.0), [0]);
    assert!(
        report(scheduler, 12_500, 60.0).is_empty(),
        "between the bounds nothing changes"
    );
    assert_eq!(report(scheduler, 13_500, 20.0), [10]);
    assert_eq!(report(scheduler, 14_600, 20.0), [20]);
}

/// Best-effort tasks that the previous owner had paused stayed so under a new one.
#[test]
fn new_owner_orders_the_pace_of_tasks_that_it_finds() {
    let mut world = World::new(2, 1, 8);
    world.run(200);
    world.submit(ID, submission());
    world.run(500);
    assert_eq!(report(world.scheduler(), 10_000, 80.0), [50]);
    world.kill_owner();
    world.start_owner();
    let scheduler = world.scheduler();
    assert_eq!(report(scheduler, 10_500, 30.0), [100]);
    assert!(report(scheduler, 11_000, 30.0).is_empty());
}
