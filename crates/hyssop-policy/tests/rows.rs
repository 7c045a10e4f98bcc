//! The rows of large jobs keep within the store's limits, which are known when a job is submitted.

mod model;

use hyssop_model::work::{Completion, Outcome, Phase, Report, Running, Schedule, Submission, Task};
use hyssop_policy::owner::{Admission, Batch, Scheduler, Settings, WorkerKey};
use model::{assert_within_limits, configuration, job, worker, World};
use std::time::Duration;

const ID: &str = "00000000000000aa";
const HOUR_MS: i64 = 3_600_000;
const NOW_MS: u64 = 1_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Creates a scheduler with one worker that has reported, under this limit of a row.
fn scheduler(max_row_bytes: usize) -> Scheduler {
    let settings = Settings {
        max_row_bytes,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new("pool", 1, settings);
    scheduler.configure(&configuration(None));
    scheduler.register_worker(worker("w0"), at(NOW_MS));
    report(&mut scheduler, Report::default());
    scheduler
}

fn report(scheduler: &mut Scheduler, report: Report) {
    let report = Report {
        clock_ms: NOW_MS as i64,
        ..report
    };
    scheduler.receive(WorkerKey(0), report, at(NOW_MS), 0, at(NOW_MS));
}

fn submit(scheduler: &mut Scheduler, id: &str, submission: Submission) -> Admission {
    let (now, wall_ms) = (at(NOW_MS), NOW_MS as i64);
    scheduler.submit(id, "queue", submission, Duration::ZERO, now, wall_ms)
}

/// Commits all changes and returns the batches.
fn commit(scheduler: &mut Scheduler) -> Vec<Batch> {
    let mut batches = Vec::new();
    while let Some(batch) = scheduler.next_batch(at(NOW_MS)) {
        assert_within_limits(&batch);
        scheduler.on_commit(at(NOW_MS));
        batches.push(batch);
    }
    batches
}

fn largest_row(batches: &[Batch]) -> usize {
    let rows = batches.iter().flat_map(|batch| &batch.writes);
    rows.map(|(_, _, value)| value.len()).max().unwrap_or(0)
}

/// Returns the smallest limit of a row with which a job is accepted.
fn required_row_bytes(submission: &Submission) -> usize {
    let (mut refused, mut accepted) = (0, 1 << 17);
    while accepted - refused > 1 {
        let limit = (refused + accepted) / 2;
        match submit(&mut scheduler(limit), ID, submission.clone()) {
            Admission::Refused(_) => refused = limit,
            _ => accepted = limit,
        }
    }
    accepted
}

fn task(step: u32, index: u32) -> Task {
    Task {
        job: ID.to_owned(),
        occurrence: 0,
        step,
        index,
    }
}

/// A job whose row exceeded the store's limit was accepted and ended its pool's service.
#[test]
fn job_of_the_largest_row_is_accepted_and_one_byte_more_is_refused() {
    let mut submission = job(1, 1, 100);
    submission.specification = "x".repeat(60_000);
    let mut unlimited = scheduler(1 << 17);
    submit(&mut unlimited, ID, submission.clone());
    let size = largest_row(&commit(&mut unlimited));
    submission.specification = "x".repeat(60_000 + 65_536 - size);
    let mut limited = scheduler(65_536);
    assert_eq!(
        submit(&mut limited, ID, submission.clone()),
        Admission::Pending
    );
    assert_eq!(largest_row(&commit(&mut limited)), 65_536);
    submission.specification.push('x');
    let Admission::Refused(reason) = submit(&mut limited, "00000000000000ab", submission) else {
        panic!("one byte more was accepted");
    };
    assert!(reason.contains("65537 bytes"), "{reason}");
    assert_eq!(limited.phase("00000000000000ab"), None);
}

#[test]
fn job_of_256_steps_is_stored_or_refused() {
    for (image_bytes, is_accepted) in [(10, true), (100, false)] {
        let mut scheduler = scheduler(65_536);
        let mut submission = job(256, 1, 100);
        submission.specification = "x".repeat(4_000);
        for step in &mut submission.steps {
            step.image = "i".repeat(image_bytes);
        }
        let admission = submit(&mut scheduler, ID, submission);
        assert_eq!(
            admission == Admission::Pending,
            is_accepted,
            "{admission:?}"
        );
        commit(&mut scheduler);
        assert_eq!(scheduler.phase(ID).is_some(), is_accepted);
        let small = submit(&mut scheduler, "00000000000000ab", job(8, 4, 100));
        assert_eq!(small, Admission::Pending);
        commit(&mut scheduler);
        assert!(scheduler.phase("00000000000000ab").is_some());
    }
}

/// Every task has failed as often as it may; then all are done. The rows fit into the limit with
/// which the job was accepted.
#[test]
fn progress_fits_into_the_limit_known_at_submission() {
    for (steps, count) in [(1, 600), (40, 15), (1, 1)] {
        let submission = job(steps, count, 100);
        let limit = required_row_bytes(&submission);
        let mut scheduler = scheduler(limit);
        submit(&mut scheduler, ID, submission);
        commit(&mut scheduler);
        let mut number = 0;
        for outcome in [Outcome::Failed, Outcome::Done] {
            for step in 0..steps as u32 {
                let completions = (0..count)
                    .map(|index| {
                        number += 1;
                        Completion {
                            number,
                            task: task(step, index),
                            run: u64::from(u32::MAX),
                            outcome,
                            checkpoint: "00000bb87a21d94b".to_owned(),
                        }
                    })
                    .collect();
                report(
                    &mut scheduler,
                    Report {
                        completions,
                        ..Report::default()
                    },
                );
                let size = largest_row(&commit(&mut scheduler));
                assert!(size > 0 && size <= limit, "{size} bytes of {limit}");
            }
        }
        assert_eq!(scheduler.phase(ID), Some(Phase::Done));
    }
}

/// Checkpoints that don't fit are left out of the row, and completions are acknowledged.
#[test]
fn row_of_long_checkpoints_fits() {
    for is_gang in [false, true] {
        let mut scheduler = scheduler(65_536);
        let mut submission = job(1, 1_000, 100);
        submission.steps[0].gang = is_gang;
        submit(&mut scheduler, ID, submission);
        commit(&mut scheduler);
        let running = (0..1_000).map(|index| Running {
            task: task(0, index),
            run: 1,
            checkpoint: "c".repeat(2_000),
            percent: 50.0,
            gauge: None,
        });
        let running = running.collect();
        report(
            &mut scheduler,
            Report {
                running,
                ..Report::default()
            },
        );
        let completions = vec![Completion {
            number: 1,
            task: task(0, 0),
            run: 1,
            outcome: Outcome::Stopped,
            checkpoint: "c".repeat(2_000),
        }];
        report(
            &mut scheduler,
            Report {
                completions,
                ..Report::default()
            },
        );
        let size = largest_row(&commit(&mut scheduler));
        assert!(size > 2_000, "{size} bytes");
        let renewal = scheduler.lease_renewal(WorkerKey(0), Duration::ZERO, false, at(NOW_MS));
        assert_eq!(renewal.map(|renewal| renewal.acknowledged), Some(1));
    }
}

/// Returns a job of four steps with `count` hourly occurrences, all of them due.
fn past_job(count: u32, now_ms: i64) -> Submission {
    Submission {
        schedule: Some(Schedule {
            first_ms: now_ms - HOUR_MS * i64::from(count),
            interval_ms: HOUR_MS,
            count,
        }),
        ..job(4, 1, 20)
    }
}

/// A job with 30 days of past times was accepted and ended its pool's service.
#[test]
fn past_occurrences_run_in_bounded_portions() {
    let mut world = World::new(1, 4, 100);
    world.run(200);
    let now_ms = world.now_ms;
    let admission = world.submit(ID, past_job(720, now_ms));
    assert_eq!(admission, Admission::Pending);
    world.run(40_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, 4 * 720);
}

#[test]
fn row_of_10_000_past_occurrences_is_bounded() {
    let mut scheduler = scheduler(65_536);
    let admission = submit(&mut scheduler, ID, past_job(10_000, NOW_MS as i64));
    assert_eq!(admission, Admission::Pending);
    let size = largest_row(&commit(&mut scheduler));
    assert!(size > 1_000, "{size} bytes: the first ones are open");
    scheduler.advance(at(NOW_MS), NOW_MS as i64);
    commit(&mut scheduler);
    assert_eq!(scheduler.phase(ID), Some(Phase::Queued));
}

/// A job of which fewer occurrences fit into a row opens fewer at a time.
#[test]
fn wide_past_occurrences_run_in_smaller_portions() {
    let mut world = World::new(2, 4, 400);
    world.run(200);
    let now_ms = world.now_ms;
    let mut submission = past_job(12, now_ms);
    submission.steps.truncate(1);
    submission.steps[0].count = 900;
    assert_eq!(world.submit(ID, submission), Admission::Pending);
    world.run(10_000);
    assert_eq!(world.phase(ID), Some(Phase::Done));
    assert_eq!(world.invariants.starts, 12 * 900);
}

#[test]
fn many_large_rows_take_several_calls() {
    let mut scheduler = scheduler(65_536);
    for number in 0..40 {
        let mut submission = job(1, 1, 100);
        submission.specification = "x".repeat(60_000);
        let id = format!("{number:016x}");
        assert_eq!(submit(&mut scheduler, &id, submission), Admission::Pending);
    }
    let batches = commit(&mut scheduler);
    assert!(batches.len() >= 4, "{} calls", batches.len());
    for number in 0..40 {
        assert!(scheduler.phase(&format!("{number:016x}")).is_some());
    }
}
