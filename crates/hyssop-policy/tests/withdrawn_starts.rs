//! Starts on workers that may no longer be given tasks when the starts are sent or repeated.

mod model;

use hyssop_model::work::{Completion, Outcome, Report, Submission};
use hyssop_policy::owner::{Action, Scheduler, Settings, StartResult, TaskKey, WorkerKey};
use model::{configuration, job};
use std::time::Duration;

const ID: &str = "00000000000000aa";
const WORKERS: u32 = 2;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A start as the scheduler has ordered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    worker: WorkerKey,
    task: TaskKey,
    run: u64,
}

/// A pool with two workers and the starts of a job's tasks.
struct Pool {
    scheduler: Scheduler,
    starts: Vec<Start>,
}

impl Pool {
    fn with_job(submission: Submission) -> Self {
        let mut scheduler = Scheduler::new("pool", 1, Settings::default());
        scheduler.configure(&configuration(None));
        let mut pool = Self {
            scheduler,
            starts: Vec::new(),
        };
        for number in 0..WORKERS {
            let worker = model::worker(&format!("w{number}"));
            pool.scheduler.register_worker(worker, at(1_000));
            pool.report(WorkerKey(number), Vec::new(), 1_000);
        }
        pool.commit(1_000);
        let age = Duration::ZERO;
        pool.scheduler
            .submit(ID, "queue", submission, age, at(1_000), 1_000);
        pool.commit(1_000);
        let (starts, _) = pool.advance(1_020);
        pool.starts = starts;
        pool
    }

    fn commit(&mut self, ms: u64) {
        while self.scheduler.next_batch(at(ms)).is_some() {
            self.scheduler.on_commit(at(ms));
        }
    }

    /// Lets a worker report `completions` and no runs.
    fn report(&mut self, worker: WorkerKey, completions: Vec<Completion>, ms: u64) {
        let report = Report {
            clock_ms: ms as i64,
            completions,
            ..Report::default()
        };
        self.scheduler.receive(worker, report, at(ms), 0, at(ms));
    }

    /// Returns the starts, and the workers and runs of the stops, that are ordered.
    fn advance(&mut self, ms: u64) -> (Vec<Start>, Vec<(WorkerKey, u64)>) {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for action in self.scheduler.advance(at(ms), ms as i64) {
            match action {
                Action::Start { worker, task, run } => starts.push(Start { worker, task, run }),
                Action::Stop { worker, run, .. } => stops.push((worker, run)),
                _ => {}
            }
        }
        (starts, stops)
    }

    /// Sends a start without getting an answer.
    fn lose(&mut self, start: Start, ms: u64) {
        let Start { worker, task, run } = start;
        let order = self.scheduler.order(worker, task, run, at(ms));
        assert!(order.is_some(), "{start:?} is sent");
        let lost = StartResult::Lost;
        self.scheduler
            .on_start_result(worker, task, run, lost, at(ms + 500));
    }

    fn id_of(&self, worker: WorkerKey) -> String {
        let worker = self.scheduler.worker(worker).expect("a worker");
        worker.listing.id.clone()
    }

    /// Lets the registry list a worker as leaving.
    fn drain(&mut self, worker: WorkerKey, ms: u64) {
        let mut listing = self
            .scheduler
            .worker(worker)
            .expect("a worker")
            .listing
            .clone();
        listing.is_draining = true;
        self.scheduler.register_worker(listing, at(ms));
    }

    /// Returns the worker on which the only task starts once `worker` has confirmed its stop.
    fn restarted_after_stop(&mut self, start: Start, ms: u64) -> WorkerKey {
        let name = format!("{ID}.0.0.0");
        self.scheduler
            .on_stop_result(start.worker, &name, start.run, true, at(ms));
        let (starts, _) = self.advance(ms + 50);
        assert!(starts.is_empty(), "no report shows that it isn't there");
        self.report(start.worker, Vec::new(), ms + 60);
        let (starts, _) = self.advance(ms + 200);
        starts.first().expect("a start").worker
    }
}

/// An unanswered start was repeated on a worker that had announced its end, until it was answered.
#[test]
fn unanswered_start_is_not_repeated_on_a_draining_worker() {
    let mut pool = Pool::with_job(job(1, 1, 900));
    let start = pool.starts[0];
    pool.lose(start, 1_030);
    pool.drain(start.worker, 1_600);
    let mut stops = Vec::new();
    for ms in (1_620..2_400).step_by(60) {
        let (starts, stopped) = pool.advance(ms);
        assert!(starts.is_empty(), "{starts:?} at {ms} ms");
        stops.extend(stopped);
    }
    assert_eq!(stops, [(start.worker, start.run)]);
    assert_ne!(pool.restarted_after_stop(start, 2_400), start.worker);
}

/// A start that waited for a connection was sent to a worker that had announced its end meanwhile.
#[test]
fn start_that_was_not_sent_goes_to_another_worker_at_once_when_its_worker_drains() {
    let mut pool = Pool::with_job(job(1, 1, 900));
    let start = pool.starts[0];
    pool.drain(start.worker, 1_100);
    let Start { worker, task, run } = start;
    assert!(pool.scheduler.order(worker, task, run, at(1_110)).is_none());
    let (starts, stops) = pool.advance(1_200);
    assert_eq!(stops, []);
    assert_ne!(starts.first().expect("a start").worker, worker);
}

#[test]
fn unanswered_start_is_not_repeated_on_a_worker_that_is_evacuated() {
    let mut pool = Pool::with_job(job(1, 1, 900));
    let start = pool.starts[0];
    pool.lose(start, 1_030);
    let id = pool.id_of(start.worker);
    pool.scheduler.evacuate(&id, at(20_000));
    let (starts, stops) = pool.advance(1_900);
    assert_eq!((starts.len(), stops.len()), (0, 1));
    assert_ne!(pool.restarted_after_stop(start, 2_000), start.worker);
}

#[test]
fn unanswered_start_is_not_repeated_on_a_worker_that_is_not_listed() {
    let mut pool = Pool::with_job(job(1, 1, 900));
    let start = pool.starts[0];
    pool.lose(start, 1_030);
    let id = pool.id_of(start.worker);
    pool.scheduler.deregister_worker(&id);
    let (starts, stops) = pool.advance(1_900);
    assert_eq!((starts.len(), stops.len()), (0, 1));
}

/// A worker on which the tasks of several jobs had failed was still sent starts that it had not answered.
#[test]
fn unanswered_start_is_not_repeated_on_a_quarantined_worker() {
    let mut pool = Pool::with_job(job(1, 1, 900));
    let start = pool.starts[0];
    pool.lose(start, 1_030);
    let failures = ["00000000000000f0", "00000000000000f1"];
    for (number, id) in failures.iter().enumerate() {
        let submission = job(1, 1, 900);
        let age = Duration::ZERO;
        pool.scheduler
            .submit(id, "queue", submission, age, at(1_100), 1_100);
        pool.commit(1_100);
        let failure = Completion {
            number: number as u64 + 1,
            task: format!("{id}.0.0.0").parse().expect("a task"),
            run: 1,
            outcome: Outcome::Failed,
            checkpoint: String::new(),
        };
        pool.report(start.worker, vec![failure], 1_540);
    }
    let (starts, stops) = pool.advance(1_900);
    assert!(stops.contains(&(start.worker, start.run)), "{stops:?}");
    assert!(!starts.contains(&start), "{starts:?}");
}

/// The start of one member of a gang was given up, and the others would have waited for it in vain.
#[test]
fn gang_is_given_up_as_a_whole_when_the_worker_of_a_member_drains() {
    let mut gang = job(1, 16, 900);
    gang.steps[0].gang = true;
    let mut pool = Pool::with_job(gang);
    assert_eq!(pool.starts.len(), 16);
    for start in pool.starts.clone() {
        pool.lose(start, 1_030);
    }
    let leaving = pool.starts[0].worker;
    pool.drain(leaving, 1_600);
    let mut stops = Vec::new();
    for ms in (1_620..2_000).step_by(60) {
        stops.extend(pool.advance(ms).1);
    }
    assert_eq!(stops.len(), 16, "{stops:?}");
}
