//! What the owner learns from runs, and what callers get from it.

mod model;
mod support;

use hyssop_model::work::{Phase, Step, Submission};
use hyssop_policy::owner::learning::{Estimator, Kind, Place, Tuning};
use hyssop_policy::owner::{Record, Scheduler, Settings};
use model::{job, Takeover, World};
use proptest::prelude::*;
use std::time::Duration;

const ESTIMATE_MS: u64 = 1_000;

/// Returns a job of one task of an image that takes `ms`, whose caller knows nothing about it.
fn task(image: &str, ms: u64) -> Submission {
    let mut submission = job(1, 1, ESTIMATE_MS);
    submission.specification = ms.to_string();
    submission.steps[0].image = image.to_owned();
    submission
}

fn labelled(submission: Submission, label: &str) -> Submission {
    let steps = submission.steps.into_iter();
    let steps = steps.map(|step| Step {
        label: Some(label.to_owned()),
        ..step
    });
    Submission {
        steps: steps.collect(),
        ..submission
    }
}

/// A world and the number of the next job.
struct Pool {
    world: World,
    next: usize,
}

impl Pool {
    fn new(workers: usize, cores: u64) -> Self {
        let mut world = World::new(1, workers, cores);
        world.run(500);
        Self { world, next: 0 }
    }

    fn submit(&mut self, submission: Submission) -> String {
        let id = format!("{:016x}", self.next);
        self.next += 1;
        self.world.submit(&id, submission);
        id
    }

    /// Lets tasks of an image run one after the other.
    fn run_tasks(&mut self, count: usize, image: &str, ms: u64) {
        for _ in 0..count {
            self.submit(task(image, ms));
            self.world.run(ms as i64 + 200);
        }
    }

    fn expected_ms(&mut self, image: &str) -> f64 {
        let step = &task(image, 0).steps[0];
        self.world.scheduler().expected_ms("queue", step)
    }

    fn runs(&mut self, image: &str) -> u32 {
        let step = &task(image, 0).steps[0];
        self.world.scheduler().expectation("queue", step).runs
    }
}

/// A queue of two images, one ten times as heavy as the other, whose callers estimate the same: with
/// one ratio for the queue, jobs were served in the order of their arrival, and the light ones waited
/// behind heavy ones until they were late.
#[test]
fn light_jobs_end_in_time_in_a_burst_with_heavy_ones_of_equal_estimate() {
    let mut pool = Pool::new(1, 4);
    for _ in 0..20 {
        pool.submit(task("light", 200));
        pool.submit(task("heavy", 2_000));
        pool.world.run(2_300);
    }
    let submitted_ms = pool.world.now_ms;
    let mut waiting: Vec<(String, i64)> = Vec::new();
    for _ in 0..12 {
        for (image, ms) in [("heavy", 2_000), ("light", 200)] {
            // The queue's rule for a job that takes this long: stretch and objective.
            let in_time_ms = submitted_ms + 600 + ms as i64 * 16 / 10;
            waiting.push((pool.submit(task(image, ms)), in_time_ms));
        }
    }
    let mut in_time = 0;
    while pool.world.now_ms < submitted_ms + 4_000 {
        pool.world.run(20);
        let now_ms = pool.world.now_ms;
        waiting.retain(|(id, in_time_ms)| {
            let is_done = pool.world.phase(id) == Some(Phase::Done);
            in_time += usize::from(is_done && now_ms <= *in_time_ms);
            !is_done
        });
    }
    println!("{in_time} of 24 jobs ended in time");
    // All light ones and a round of heavy ones.
    assert!(in_time >= 12 + 4, "{in_time} of 24 jobs ended in time");
}

/// A worker that ran the heavy tasks of its queue was taken for slow, and avoided.
#[test]
fn heavy_image_does_not_make_its_worker_look_slow() {
    let mut pool = Pool::new(2, 4);
    for _ in 0..10 {
        for _ in 0..10 {
            pool.submit(labelled(task("light", 100), "r-w1"));
            pool.world.run(200);
        }
        pool.submit(labelled(task("heavy", 2_000), "r-w0"));
        pool.world.run(2_200);
    }
    let id = pool.submit(task("light", 100));
    pool.world.run(50);
    let on_first = pool.world.workers[0].running().map(|(task, _)| task);
    assert!(
        on_first.count() == 1,
        "{id} doesn't run on the first worker, which fits as well"
    );
}

/// Runs on a worker that takes five times as long were averaged into the expectation of all.
#[test]
fn sick_worker_does_not_distort_its_images() {
    let mut pool = Pool::new(5, 1);
    pool.world.workers[2].slowness = 5;
    for _ in 0..30 {
        for _ in 0..5 {
            pool.submit(task("image", 400));
        }
        pool.world.run(2_300);
    }
    let expected_ms = pool.expected_ms("image");
    assert!((380.0..550.0).contains(&expected_ms), "{expected_ms} ms");
}

/// Runs that a new owner found were taught from the time at which it found them.
#[test]
fn remainder_of_a_run_after_a_failover_teaches_nothing() {
    let mut pool = Pool::new(1, 1);
    pool.submit(task("image", 8_000));
    pool.world.run(2_000);
    pool.world.kill_owner();
    pool.world.take_over(Takeover::default());
    pool.world.run(9_000);
    assert_eq!(pool.world.phase("0000000000000000"), Some(Phase::Done));
    assert_eq!(pool.runs("image"), 0);
}

/// An image that has become heavier was forecast by its old runs until the first new one ended.
#[test]
fn runs_that_go_on_teach_that_their_image_takes_longer() {
    let mut pool = Pool::new(4, 1);
    pool.run_tasks(8, "image", 200);
    let before_ms = pool.expected_ms("image");
    for _ in 0..4 {
        pool.submit(task("image", 20_000));
    }
    pool.world.run(5_000);
    let after_ms = pool.expected_ms("image");
    assert!(
        after_ms > 2.0 * before_ms,
        "{after_ms} ms after {before_ms} ms"
    );
}

/// The time that a run hung until it was stopped says nothing about its image.
#[test]
fn hung_runs_teach_nothing() {
    let mut pool = Pool::new(2, 1);
    pool.run_tasks(8, "image", 200);
    let before_ms = pool.expected_ms("image");
    pool.world.workers[0].hangs = true;
    pool.world.workers[1].hangs = true;
    for _ in 0..2 {
        pool.submit(task("image", 200));
    }
    pool.world.run(6_000);
    assert_eq!(pool.expected_ms("image"), before_ms);
}

/// A new owner started with the callers' estimates alone.
#[test]
fn successor_of_a_lost_owner_knows_what_was_learned() {
    let mut pool = Pool::new(2, 2);
    pool.run_tasks(30, "light", 200);
    pool.run_tasks(10, "heavy", 2_000);
    let before = [pool.expected_ms("light"), pool.expected_ms("heavy")];
    pool.world.kill_owner();
    pool.world.take_over(Takeover::default());
    pool.world.run(1_000);
    let after = [pool.expected_ms("light"), pool.expected_ms("heavy")];
    for (before, after) in before.into_iter().zip(after) {
        assert!(
            (0.8..1.25).contains(&(after / before)),
            "{after} after {before}"
        );
    }
    assert!(pool.runs("light") > 10);
}

fn recover(value: Vec<u8>) -> Scheduler {
    let mut scheduler = Scheduler::new("pool", 2, Settings::default());
    let record = Record {
        table: "learning".to_owned(),
        key: "learning".to_owned(),
        value,
    };
    scheduler.recover(&[record], Duration::ZERO, Duration::ZERO, 0);
    scheduler
}

fn learned_row() -> Vec<u8> {
    let mut pool = Pool::new(1, 1);
    pool.run_tasks(5, "light", 200);
    let row = pool.world.scheduler().last_learning_row();
    row.expect("a row").2
}

/// A row that can't be used must cost no more than what was learned.
#[test]
fn malformed_row_is_ignored() {
    let row = learned_row();
    let step = &task("light", 0).steps[0];
    let is_ignored = |value| recover(value).expected_ms("queue", step) == ESTIMATE_MS as f64;
    assert!(!is_ignored(row.clone()));
    for length in 0..row.len() {
        assert!(is_ignored(row[..length].to_vec()), "{length} bytes");
    }
    let longer = [row.clone(), vec![0]].concat();
    assert!(is_ignored(longer), "a byte more");
    let oversized = [row.clone(), vec![0; 1 << 16]].concat();
    assert!(is_ignored(oversized), "oversized");
    let other_layout = [vec![2], row[1..].to_vec()].concat();
    assert!(is_ignored(other_layout), "another layout");
}

proptest! {
    #![proptest_config(support::cases(500))]

    /// A row with changed bytes must neither stop an owner nor give forecasts that aren't numbers.
    #[test]
    fn changed_row_gives_finite_forecasts(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        estimate_ms: u64,
    ) {
        static ROW: std::sync::OnceLock<Vec<u8>> = std::sync::OnceLock::new();
        let mut row = ROW.get_or_init(learned_row).clone();
        for (index, byte) in changes {
            let at = index.index(row.len());
            row[at] = byte;
        }
        let scheduler = recover(row);
        for image in ["light", "other", ""] {
            let step = Step { image: image.to_owned(), estimate_ms, ..Step::default() };
            let expectation = scheduler.expectation("queue", &step);
            prop_assert!(expectation.expected_ms.is_finite() && expectation.expected_ms >= 0.0);
            prop_assert!(expectation.high_ms.is_finite());
            prop_assert!(expectation.high_ms >= expectation.expected_ms);
        }
    }
}

/// Callers estimate any number, and a forecast beyond what a time holds ended the process.
#[test]
fn absurd_estimates_give_finite_forecasts_and_a_usable_row() {
    let mut pool = Pool::new(1, 1);
    for estimate_ms in [u64::MAX, 1, 0, u64::MAX / 2, 1_000] {
        for image in ["light", ""] {
            let mut submission = task(image, 200);
            submission.steps[0].estimate_ms = estimate_ms;
            pool.submit(submission);
            pool.world.run(400);
        }
    }
    let row = pool.world.scheduler().last_learning_row().expect("a row").2;
    let scheduler = recover(row);
    for (image, estimate_ms) in [("light", u64::MAX), ("light", 0), ("", u64::MAX), ("", 0)] {
        let mut step = task(image, 0).steps.remove(0);
        step.estimate_ms = estimate_ms;
        let expectation = scheduler.expectation("queue", &step);
        assert!(expectation.runs > 0, "{expectation:?}");
        assert!(expectation.high_ms.is_finite() && expectation.expected_ms > 0.0);
    }
}

/// Names of images come from callers, who may send any number of them.
#[test]
fn least_recently_used_images_are_forgotten() {
    let mut estimator = Estimator::new(Tuning::default());
    let observe = |estimator: &mut Estimator, image: &str| {
        let kind = Kind {
            queue: "queue",
            image,
            estimate_ms: ESTIMATE_MS,
        };
        let place = Place {
            worker: 0,
            is_suspect: false,
        };
        estimator.observe(kind, 200.0, None, place);
    };
    for number in 0..20_000 {
        observe(&mut estimator, &format!("image-{number}"));
        observe(&mut estimator, "used");
        assert!(estimator.image_count() <= 1_024);
    }
    let kind = |image| Kind {
        queue: "queue",
        image,
        estimate_ms: ESTIMATE_MS,
    };
    assert_eq!(estimator.expectation(kind("image-0")).runs, 0);
    assert_eq!(estimator.expectation(kind("image-19999")).runs, 1);
    assert!(estimator.expectation(kind("used")).runs >= 32);
}
