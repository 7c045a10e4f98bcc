//! Runs whose duration doesn't show how long their tasks take, runs that stall, and the cost of storing
//! what is learned.

mod model;

use hyssop_model::work::{Completion, Outcome, Report, Running, Step, Task};
use hyssop_platform::dialect::StartOutcome;
use hyssop_policy::owner::{Action, Batch, Scheduler, Settings, StartResult, TaskKey, WorkerKey};
use model::{configuration, job, worker};
use std::time::Duration;

const STARTED: StartResult = StartResult::Answered(StartOutcome::Done(Some(1_000)));
const TASK_MS: u64 = 300;

/// An owner with workers `w0` and `w1`, each on a rack of its own.
struct Owner {
    scheduler: Scheduler,
    now_ms: u64,
    jobs: usize,
    completions: u64,
    batches: Vec<Batch>,
}

type Start = (WorkerKey, TaskKey, u64);

impl Owner {
    fn new() -> Self {
        let mut owner = Self {
            scheduler: Scheduler::new("pool", 1, Settings::default()),
            now_ms: 1_000,
            jobs: 0,
            completions: 0,
            batches: Vec::new(),
        };
        owner.scheduler.configure(&configuration(None));
        for number in 0..2 {
            let listing = worker(&format!("w{number}"));
            owner.scheduler.register_worker(listing, owner.now());
            owner.report(WorkerKey(number), Vec::new());
        }
        owner.commit();
        owner
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn commit(&mut self) {
        while let Some(batch) = self.scheduler.next_batch(self.now()) {
            self.batches.push(batch);
            self.scheduler.on_commit(self.now());
        }
    }

    fn report(&mut self, key: WorkerKey, completions: Vec<Completion>) {
        let report = Report {
            clock_ms: self.now_ms as i64,
            completions,
            ..Report::default()
        };
        let now = self.now();
        self.scheduler.receive(key, report, now, 0, now);
    }

    /// Returns the start of the only task that is due.
    fn started(&mut self) -> Start {
        let actions = self.scheduler.advance(self.now(), self.now_ms as i64);
        let mut starts = actions.into_iter().filter_map(|action| match action {
            Action::Start { worker, task, run } => Some((worker, task, run)),
            _ => None,
        });
        starts.next_back().expect("a start")
    }

    fn submit(&mut self, step: Step) -> Start {
        let mut submission = job(1, 1, 1_000);
        submission.steps = vec![step];
        let id = format!("{:016x}", self.jobs);
        self.jobs += 1;
        let (now, wall_ms) = (self.now(), self.now_ms as i64);
        self.scheduler
            .submit(&id, "queue", submission, Duration::ZERO, now, wall_ms);
        self.commit();
        self.now_ms += 50;
        self.started()
    }

    fn answer(&mut self, (worker, task, run): Start, result: StartResult) {
        let now = self.now();
        self.scheduler
            .on_start_result(worker, task, run, result, now);
    }

    /// Returns the name of the only task of the last job.
    fn task(&self) -> Task {
        Task {
            job: format!("{:016x}", self.jobs - 1),
            occurrence: 0,
            step: 0,
            index: 0,
        }
    }

    /// Runs a task of the image that takes `ms`.
    fn run_task(&mut self, step: Step, ms: u64) {
        let start = self.submit(step);
        self.answer(start, STARTED);
        self.now_ms += ms - TASK_MS;
        self.end(start, Outcome::Done, "");
    }

    /// Returns how long a run that shows no progress goes on until it is stopped.
    fn stalled_ms(&mut self, step: Step) -> u64 {
        let start = self.submit(step);
        self.answer(start, STARTED);
        let started_ms = self.now_ms;
        loop {
            self.now_ms += 50;
            let running = Running {
                task: self.task(),
                run: start.2,
                checkpoint: String::new(),
                percent: 0.0,
                gauge: None,
            };
            let report = Report {
                clock_ms: self.now_ms as i64,
                running: vec![running],
                ..Report::default()
            };
            let now = self.now();
            self.scheduler.receive(start.0, report, now, 0, now);
            let actions = self.scheduler.advance(now, self.now_ms as i64);
            let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
            if actions.iter().any(is_stop) {
                return self.now_ms - started_ms;
            }
        }
    }

    /// Lets a run end after `TASK_MS`.
    fn end(&mut self, (worker, _, run): Start, outcome: Outcome, checkpoint: &str) {
        self.now_ms += TASK_MS;
        self.completions += 1;
        let completion = Completion {
            number: self.completions,
            task: self.task(),
            run,
            outcome,
            checkpoint: checkpoint.to_owned(),
        };
        self.report(worker, vec![completion]);
        self.commit();
    }

    fn runs(&self) -> u32 {
        self.scheduler.expectation("queue", &step()).runs
    }
}

fn step() -> Step {
    Step {
        image: "image".to_owned(),
        ..job(1, 1, 1_000).steps[0].clone()
    }
}

#[test]
fn whole_run_teaches_its_duration() {
    let mut owner = Owner::new();
    let start = owner.submit(step());
    owner.answer(start, STARTED);
    owner.end(start, Outcome::Done, "");
    let expectation = owner.scheduler.expectation("queue", &step());
    assert_eq!(expectation.runs, 1);
    assert!(expectation.expected_ms < 500.0, "{expectation:?}");
}

/// A task that resumed was taught as if its remainder were all of it.
#[test]
fn resumed_run_teaches_nothing() {
    let mut owner = Owner::new();
    let start = owner.submit(step());
    owner.answer(start, STARTED);
    owner.end(start, Outcome::Stopped, "00ff");
    let resumed = owner.started();
    owner.answer(resumed, STARTED);
    owner.end(resumed, Outcome::Done, "");
    assert_eq!(owner.runs(), 0);
}

/// A start without an answer may have taken effect any time later.
#[test]
fn run_with_an_unanswered_start_teaches_nothing() {
    let mut owner = Owner::new();
    let start = owner.submit(step());
    owner.answer(start, StartResult::Lost);
    owner.end(start, Outcome::Done, "");
    assert_eq!(owner.runs(), 0);
}

/// A run that ended while its worker was silent was taught to take until the worker was heard again.
#[test]
fn run_that_ended_on_a_silent_worker_teaches_nothing() {
    let mut owner = Owner::new();
    let start = owner.submit(step());
    owner.answer(start, STARTED);
    let now = owner.now();
    owner.scheduler.on_report_failure(start.0, now);
    owner.now_ms += 2_000;
    owner.end(start, Outcome::Done, "");
    assert_eq!(owner.runs(), 0);
}

/// Tasks away from their data take longer than the others of their image.
#[test]
fn run_away_from_its_rack_teaches_nothing() {
    for (rack, runs) in [("r-w1", 0), ("r-w0", 1), ("r-elsewhere", 1)] {
        let mut owner = Owner::new();
        let near_data = Step {
            rack: Some(rack.to_owned()),
            label: Some("r-w0".to_owned()),
            ..step()
        };
        let start = owner.submit(near_data);
        owner.answer(start, STARTED);
        owner.end(start, Outcome::Done, "");
        assert_eq!(owner.runs(), runs, "{rack}");
    }
}

/// Each transaction is paid for, and one shard takes 200 a second.
#[test]
fn learned_durations_are_stored_with_other_changes_and_rarely() {
    let mut owner = Owner::new();
    for _ in 0..60 {
        let start = owner.submit(step());
        owner.answer(start, STARTED);
        owner.end(start, Outcome::Done, "");
        owner.now_ms += 650;
    }
    let is_learning = |batch: &&Batch| batch.writes.iter().any(|row| row.0 == "learning");
    let with_row: Vec<&Batch> = owner.batches.iter().filter(is_learning).collect();
    // 60 s at one row in ten seconds.
    assert!((5..=6).contains(&with_row.len()), "{} rows", with_row.len());
    let others = |batch: &&Batch| batch.writes.len() + batch.removes.len() > 1;
    assert!(with_row.iter().all(others));
}

/// A hung task was stopped only after half of an estimate that was far too long.
#[test]
fn stalled_run_is_stopped_by_what_its_image_takes_and_not_by_its_estimate() {
    let mut owner = Owner::new();
    let estimated = |estimate_ms| Step {
        estimate_ms,
        ..step()
    };
    for number in 0..40 {
        let estimate_ms = [300, 1_000, 10_000][number % 3];
        owner.run_task(estimated(estimate_ms), 1_000);
    }
    let stalled_ms = owner.stalled_ms(estimated(60_000));
    assert!(stalled_ms < 2_000, "{stalled_ms} ms");
}

/// Of an image with a long tail, a task that shows its progress in quarters was stopped as stalled.
#[test]
fn run_of_an_image_with_a_long_tail_gets_the_time_that_its_long_tasks_take() {
    let mut owner = Owner::new();
    for number in 0..40 {
        let ms = if number % 5 == 4 { 20_000 } else { 1_000 };
        owner.run_task(step(), ms);
    }
    let stalled_ms = owner.stalled_ms(step());
    assert!((4_000..10_000).contains(&stalled_ms), "{stalled_ms} ms");
}
