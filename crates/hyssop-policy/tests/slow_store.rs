//! A flood of jobs while the store is sixty times slower than usual: what the callers get.

mod model;

use hyssop_model::work::Phase;
use hyssop_policy::owner::{Admission, StorePace};
use model::{job, World};
use std::time::Duration;

/// The time that the slow store takes for one transaction.
const COMMIT_MS: i64 = 360;
/// The interval between two submissions: five times the mean rate of one queue of a large pool.
const INTERVAL_MS: i64 = 6;
/// The duration of the flood.
const FLOOD_MS: i64 = 4_500;
/// How long a caller waits for an answer.
const PATIENCE_MS: i64 = 2_900;

/// One caller's submission.
struct Caller {
    id: String,
    submitted_ms: i64,
    is_refused: bool,
    accepted_after_ms: Option<i64>,
    done_after_ms: Option<i64>,
}

/// Plays the flood; jobs whose expected wait for the store exceeds the callers' patience are
/// refused.
fn play() -> Vec<Caller> {
    let mut world = World::new(1, 60, 64);
    world.run(500);
    world.commit_ms = COMMIT_MS;
    world.run(COMMIT_MS);
    let mut callers: Vec<Caller> = Vec::new();
    let started_ms = world.now_ms;
    let mut next_ms = started_ms;
    while world.now_ms < started_ms + FLOOD_MS + 6_000 {
        while next_ms <= world.now_ms && next_ms < started_ms + FLOOD_MS {
            next_ms += INTERVAL_MS;
            let id = format!("{:016x}", callers.len());
            let pace = StorePace {
                commit_time: Duration::from_millis(COMMIT_MS as u64),
                elapsed: Duration::ZERO,
            };
            let submission = job(2, 4, 500);
            let wait =
                world
                    .scheduler()
                    .excessive_store_wait("queue", &submission, Duration::ZERO, pace);
            let is_refused = wait.is_some();
            if !is_refused {
                let admission = world.submit(&id, submission);
                assert_eq!(admission, Admission::Pending);
            }
            callers.push(Caller {
                id,
                submitted_ms: world.now_ms,
                is_refused,
                accepted_after_ms: None,
                done_after_ms: None,
            });
        }
        world.run(20);
        let now_ms = world.now_ms;
        for caller in callers.iter_mut().filter(|caller| !caller.is_refused) {
            let age_ms = now_ms - caller.submitted_ms;
            let phase = world.phase(&caller.id);
            if phase.is_some() {
                caller.accepted_after_ms.get_or_insert(age_ms);
            }
            if phase == Some(Phase::Done) {
                caller.done_after_ms.get_or_insert(age_ms);
            }
        }
    }
    callers
}

/// While every transaction took 360 ms, the progress of running jobs filled them, and new jobs and
/// results waited until their callers had gone (`kwp-skips-large mix --seed 193739070431`).
#[test]
fn new_jobs_and_results_are_stored_before_progress() {
    let callers = play();
    let total = callers.len() as f64;
    let share = |is_counted: &dyn Fn(&Caller) -> bool| {
        callers.iter().filter(|caller| is_counted(caller)).count() as f64 / total
    };
    let in_patience = |after: Option<i64>| after.is_some_and(|ms| ms <= PATIENCE_MS);
    let unanswered = share(&|caller| !caller.is_refused && !in_patience(caller.accepted_after_ms));
    let done_in_time = share(&|caller| caller.done_after_ms.is_some_and(|ms| ms <= 3_000));
    let refused = share(&|caller| caller.is_refused);
    println!("refused {refused:.3}, unanswered {unanswered:.3}, done within 3 s {done_in_time:.3}");
    assert!(
        unanswered == 0.0,
        "{unanswered} of the callers got no answer"
    );
    assert!(
        done_in_time >= 0.6,
        "only {done_in_time} of the jobs were done in time"
    );
}

#[test]
fn progress_is_stored_once_the_flood_is_over() {
    let mut world = World::new(2, 8, 64);
    world.run(500);
    world.commit_ms = COMMIT_MS;
    for number in 0..40 {
        world.submit(&format!("{number:016x}"), job(3, 4, 400));
    }
    world.run(8_000);
    for id in world.accepted() {
        assert_eq!(world.phase(&id), Some(Phase::Done));
    }
    world.kill_owner();
    world.run(100);
    world.start_owner();
    world.run(1_000);
    for id in world.accepted() {
        assert_eq!(world.phase(&id), Some(Phase::Done), "after a failover");
    }
}
