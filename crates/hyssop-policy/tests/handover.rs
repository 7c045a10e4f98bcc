//! What an owner that stops as planned hands over to the next one.

mod model;
mod support;

use hyssop_model::work::{self, Completion, Outcome, Report, Running, Submission};
use hyssop_platform::dialect::Start;
use hyssop_platform::rows::{decode, encode};
use hyssop_policy::owner::{Action, Refusal, Scheduler, Settings, WorkerKey};
use model::{configuration, job, long_running_job, FakeStore};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";
const BORN: i64 = 1_000;

/// The row of a handover, with the names that it has in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Row {
    layout: u32,
    term: u64,
    has_placements: bool,
    interrupt_pause_ms: u64,
    authority_ms: u64,
    workers: Vec<Entry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    id: String,
    incarnation: i64,
    lease_ms: u64,
    returns_ms: Option<u64>,
    released_ms: u64,
    is_successor: bool,
    tasks: Vec<String>,
    may_run_others: bool,
    stopping: Vec<String>,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn lease_span_ms() -> u64 {
    Settings::default().lease_span().as_millis() as u64
}

fn running(task: &str, run: u64) -> Running {
    Running {
        task: task.parse().expect("a task name"),
        run,
        checkpoint: String::new(),
        percent: 100.0,
        gauge: None,
    }
}

/// The owner of a pool, its store and the starts that it has sent.
struct Pool {
    scheduler: Scheduler,
    store: FakeStore,
    settings: Settings,
    sent: Vec<Start>,
}

impl Pool {
    fn new(workers: &[&str]) -> Self {
        Self::with_settings(workers, Settings::default())
    }

    fn with_settings(workers: &[&str], settings: Settings) -> Self {
        let mut pool = Self {
            scheduler: Scheduler::new("pool", 1, settings),
            store: FakeStore::default(),
            settings,
            sent: Vec::new(),
        };
        pool.store.begin_term();
        pool.scheduler.configure(&configuration(None));
        pool.scheduler.on_registry_snapshot(at(1_000));
        for id in workers {
            pool.join(id, 1_000);
        }
        pool
    }

    fn key(&self, id: &str) -> WorkerKey {
        let is_wanted = |key: &WorkerKey| {
            let worker = self.scheduler.worker(*key);
            worker.is_some_and(|worker| worker.listing.id == id)
        };
        (0..100).map(WorkerKey).find(is_wanted).expect("a worker")
    }

    fn register(&mut self, id: &str, ms: u64) {
        let listing = work::Worker {
            incarnation: BORN,
            ..model::worker(id)
        };
        self.scheduler.register_worker(listing, at(ms));
    }

    /// Registers a worker that reports that it runs nothing.
    fn join(&mut self, id: &str, ms: u64) {
        self.register(id, ms);
        self.report(id, Report::default(), ms);
        self.commit(ms);
    }

    fn report(&mut self, id: &str, report: Report, ms: u64) {
        let report = Report {
            clock_ms: ms as i64,
            incarnation: Some(BORN),
            ..report
        };
        let key = self.key(id);
        self.scheduler.receive(key, report, at(ms), 0, at(ms));
    }

    fn report_runs(&mut self, id: &str, ms: u64) {
        let runs = self.sent.iter().filter(|start| start.worker == id);
        let report = Report {
            running: runs.map(|start| running(&start.task, start.run)).collect(),
            ..Report::default()
        };
        self.report(id, report, ms);
    }

    fn commit(&mut self, ms: u64) {
        self.store.commit_all(&mut self.scheduler, at(ms));
    }

    fn submit(&mut self, id: &str, submission: Submission, ms: u64) {
        let (now, wall_ms) = (at(ms), ms as i64);
        self.scheduler
            .submit(id, "queue", submission, Duration::ZERO, now, wall_ms);
        self.commit(ms);
    }

    fn advance(&mut self, ms: u64) -> Vec<Action> {
        self.commit(ms);
        self.scheduler.advance(at(ms), ms as i64)
    }

    /// Sends the starts that are ordered at `ms` and returns them.
    fn starts(&mut self, ms: u64) -> Vec<Start> {
        let mut starts = Vec::new();
        for action in self.advance(ms) {
            if let Action::Start { worker, task, run } = action {
                starts.extend(self.scheduler.order(worker, task, run, at(ms)));
            }
        }
        self.sent.extend(starts.clone());
        starts
    }

    /// Returns the first start of `task` from `from` to `to` and its time.
    fn first_start(&mut self, task: &str, from: u64, to: u64) -> Option<u64> {
        (from..=to)
            .step_by(20)
            .find(|ms| self.starts(*ms).iter().any(|start| start.task == task))
    }

    /// Stops the owner as planned and returns the row of the handover.
    fn stop(&mut self, ms: u64) -> Row {
        self.scheduler.begin_handover();
        self.commit(ms);
        self.release(ms)
    }

    /// Releases the pool without storing the last changes.
    fn release(&mut self, ms: u64) -> Row {
        self.scheduler.begin_handover();
        let value = self.scheduler.hand_over(at(ms)).expect("a small row");
        assert!(self.store.release(self.store.term, Some(value.clone())));
        decode(&value).expect("a row of this layout")
    }

    fn replace_row(&mut self, value: Vec<u8>) {
        assert!(self.store.release(self.store.term, Some(value)));
    }

    /// Starts the next owner, which has read the rows and an empty registry.
    fn take_over(&mut self, ms: u64) -> Result<(), Refusal> {
        let from = self.store.handover.expect("a released pool");
        self.recover(ms);
        self.scheduler
            .accept_handover(&self.store.records(), from, at(ms))
    }

    /// Starts the next owner without a handover.
    fn recover(&mut self, ms: u64) {
        self.store.begin_term();
        let (now, records) = (at(ms), self.store.records());
        self.scheduler = Scheduler::new("pool", self.store.term, self.settings);
        self.scheduler.configure(&configuration(None));
        let authority_end = now + self.settings.authority;
        self.scheduler
            .recover(&records, authority_end, now, ms as i64);
        self.scheduler.on_registry_snapshot(now);
    }
}

/// Returns a pool that runs one task each on two of its three workers: the task and worker that fall
/// silent, and the worker that goes on.
fn two_runs() -> (Pool, Start, Start) {
    let mut submission = job(1, 2, 60_000);
    submission.steps[0].max_per_worker = 1;
    let mut pool = Pool::new(&["w0", "w1", "w2"]);
    pool.submit(JOB, submission, 1_000);
    let starts = pool.starts(1_020);
    assert_eq!(starts.len(), 2);
    (pool, starts[0].clone(), starts[1].clone())
}

#[test]
fn silent_worker_holds_only_its_own_tasks() {
    let (mut pool, silent, live) = two_runs();
    pool.submit(OTHER_JOB, job(1, 1, 900), 1_030);
    pool.stop(1_030);
    assert_eq!(pool.take_over(1_100), Ok(()));
    pool.register(&silent.worker, 1_100);
    pool.register(&live.worker, 1_100);
    pool.report_runs(&live.worker, 1_110);
    let queued = format!("{OTHER_JOB}.0.0.0");
    assert!(pool.first_start(&queued, 1_120, 1_160).is_some());
    let until = 1_020 + lease_span_ms();
    assert_eq!(pool.first_start(&silent.task, 1_180, until - 20), None);
    assert_eq!(pool.first_start(&live.task, until, until + 3_000), None);
}

#[test]
fn task_of_a_silent_worker_starts_once_its_leases_are_over() {
    let (mut pool, silent, live) = two_runs();
    pool.stop(1_030);
    assert_eq!(pool.take_over(1_100), Ok(()));
    pool.register(&live.worker, 1_100);
    pool.report_runs(&live.worker, 1_110);
    pool.join("w3", 1_110);
    let lease_end = 1_020 + lease_span_ms();
    let started = pool.first_start(&silent.task, 1_120, 20_000);
    let started = started.expect("a start");
    assert!(started >= lease_end, "at {started} ms");
    assert!(started <= lease_end + 200, "at {started} ms");
}

#[test]
fn idle_worker_that_has_ended_holds_nothing() {
    let mut pool = Pool::new(&["w0", "w1"]);
    pool.submit(JOB, job(1, 4, 900), 1_000);
    let row = pool.stop(1_010);
    assert!(row.workers.is_empty(), "{row:?}");
    assert_eq!(pool.take_over(1_100), Ok(()));
    pool.join("w1", 1_110);
    assert_eq!(pool.starts(1_120).len(), 4);
}

/// Each owner waited anew for the leases of a silent worker.
#[test]
fn chain_of_planned_stops_waits_once() {
    let (mut pool, silent, live) = two_runs();
    let mut ms = 1_030;
    let lease_end = 1_020 + lease_span_ms();
    for _ in 0..4 {
        pool.stop(ms);
        ms += 10;
        assert_eq!(pool.take_over(ms), Ok(()));
        pool.register(&live.worker, ms);
        pool.report_runs(&live.worker, ms);
        pool.join("w3", ms);
        let until = ms + 900;
        assert_eq!(pool.first_start(&silent.task, ms + 10, until - 10), None);
        ms = until;
    }
    let started = pool.first_start(&silent.task, ms, 20_000);
    let started = started.expect("a start");
    assert!(started >= lease_end, "at {started} ms");
    assert!(started <= lease_end + 400, "at {started} ms");
}

fn done(start: &Start) -> Report {
    Report {
        completions: vec![Completion {
            number: 1,
            task: start.task.parse().expect("a task name"),
            run: start.run,
            outcome: Outcome::Done,
            checkpoint: String::new(),
        }],
        ..Report::default()
    }
}

#[test]
fn task_whose_completion_is_not_stored_does_not_run_again() {
    let (mut pool, ended, live) = two_runs();
    pool.report(&ended.worker, done(&ended), 1_500);
    let row = pool.release(1_510);
    assert!(!row.has_placements, "{row:?}");
    assert_eq!(pool.take_over(1_600), Ok(()));
    pool.register(&ended.worker, 1_600);
    pool.register(&live.worker, 1_600);
    pool.report_runs(&live.worker, 1_610);
    assert_eq!(pool.first_start(&ended.task, 1_620, 2_000), None);
    pool.report(&ended.worker, done(&ended), 2_010);
    assert_eq!(pool.first_start(&ended.task, 2_020, 12_000), None);
}

/// One completion that was not stored made the next owner take all tasks for ones that any worker may
/// run, so a chain of short terms held them for as long as workers ended.
#[test]
fn unstored_completion_holds_queued_tasks_only_until_its_worker_reports() {
    let (mut pool, silent, live) = two_runs();
    pool.submit(OTHER_JOB, job(1, 1, 60_000), 1_100);
    pool.report(&live.worker, done(&live), 1_500);
    pool.release(1_510);
    assert_eq!(pool.take_over(1_600), Ok(()));
    pool.register(&live.worker, 1_600);
    let queued = format!("{OTHER_JOB}.0.0.0");
    assert_eq!(pool.first_start(&queued, 1_620, 1_900), None);
    pool.report(&live.worker, done(&live), 1_910);
    assert!(pool.first_start(&queued, 1_920, 2_100).is_some());
    assert_eq!(pool.first_start(&silent.task, 2_120, 4_000), None);
}

/// A completion reported to an owner that stops isn't acknowledged, and the worker repeats it.
#[test]
fn completion_reported_during_a_stop_is_waited_for() {
    let (mut pool, ended, live) = two_runs();
    pool.scheduler.begin_handover();
    pool.report(&ended.worker, done(&ended), 1_500);
    pool.stop(1_510);
    assert_eq!(pool.take_over(1_600), Ok(()));
    pool.register(&ended.worker, 1_600);
    pool.register(&live.worker, 1_600);
    pool.report_runs(&live.worker, 1_610);
    assert_eq!(pool.first_start(&ended.task, 1_620, 2_000), None);
    pool.report(&ended.worker, done(&ended), 2_010);
    assert_eq!(pool.first_start(&ended.task, 2_020, 12_000), None);
}

/// The lease of a worker that had reported the end of its only run to a new owner counted as over, so
/// the run was repeated elsewhere if that owner stopped before it had stored the end.
#[test]
fn worker_with_an_unstored_completion_is_waited_for_until_its_leases_are_over() {
    let (mut pool, ended, live) = two_runs();
    pool.stop(1_030);
    assert_eq!(pool.take_over(1_100), Ok(()));
    pool.register(&ended.worker, 1_100);
    pool.report(&ended.worker, done(&ended), 1_110);
    pool.release(1_200);
    assert_eq!(pool.take_over(1_300), Ok(()));
    pool.register(&ended.worker, 1_300);
    pool.register(&live.worker, 1_300);
    pool.report_runs(&live.worker, 1_310);
    pool.join("w3", 1_310);
    let lease_end = 1_020 + lease_span_ms();
    for ms in (1_400..lease_end).step_by(100) {
        let key = pool.key(&ended.worker);
        pool.scheduler.on_report_failure(key, at(ms));
        assert_eq!(pool.first_start(&ended.task, ms, ms + 60), None);
    }
}

/// Returns a pool that serves a long-running task, the start of the task, and another worker's name.
fn serving() -> (Pool, Start, &'static str) {
    let mut pool = Pool::new(&["w0", "w1"]);
    pool.submit(JOB, long_running_job(1), 1_000);
    let starts = pool.starts(1_020);
    assert_eq!(starts.len(), 1);
    pool.report_runs(&starts[0].worker, 1_500);
    let other = ["w0", "w1"].into_iter().find(|id| *id != starts[0].worker);
    (pool, starts[0].clone(), other.expect("another worker"))
}

#[test]
fn stop_under_way_is_repeated_by_the_next_owner() {
    let (mut pool, start, other) = serving();
    let mut listing = work::Worker {
        incarnation: BORN,
        ..model::worker(&start.worker)
    };
    listing.is_draining = true;
    pool.scheduler.register_worker(listing.clone(), at(1_510));
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(pool.advance(1_600).iter().any(is_stop));
    let row = pool.stop(1_610);
    assert_eq!(row.workers[0].stopping, [start.task.as_str()]);
    assert_eq!(pool.take_over(1_700), Ok(()));
    pool.scheduler.register_worker(listing, at(1_700));
    pool.join(other, 1_700);
    pool.report_runs(&start.worker, 1_710);
    assert!(pool.advance(1_720).iter().any(is_stop));
}

/// Releases the worker of a long-running task for maintenance, and returns when the release ends.
fn release_worker(pool: &mut Pool, start: &Start) -> u64 {
    pool.scheduler.evacuate(&start.worker, at(3_000));
    pool.advance(1_600);
    let loads = pool.scheduler.demand(at(1_600)).loads;
    assert!(loads.iter().any(|load| load.is_released_for_disruption));
    1_600 + 2_500
}

#[test]
fn released_worker_is_given_no_task_by_the_next_owner() {
    let (mut pool, start, _) = serving();
    let released_until = release_worker(&mut pool, &start);
    pool.submit(OTHER_JOB, long_running_job(1), 1_610);
    pool.stop(1_620);
    assert_eq!(pool.take_over(1_700), Ok(()));
    pool.register(&start.worker, 1_700);
    pool.report_runs(&start.worker, 1_710);
    let queued = format!("{OTHER_JOB}.0.0.0");
    assert_eq!(pool.first_start(&queued, 1_720, released_until - 20), None);
    let started = pool.first_start(&queued, released_until, released_until + 400);
    assert!(started.is_some());
}

/// The release of a worker was forgotten with the last of its tasks, while the fleet's owner could
/// still shut it down.
#[test]
fn released_worker_whose_tasks_have_ended_is_given_no_task_by_the_next_owner() {
    let (mut pool, start, _) = serving();
    let released_until = release_worker(&mut pool, &start);
    let mut failed = done(&start);
    failed.completions[0].outcome = Outcome::Failed;
    pool.report(&start.worker, failed, 1_610);
    pool.commit(1_610);
    let key = pool.key(&start.worker);
    let report = Report {
        clock_ms: 1_620,
        incarnation: Some(BORN),
        ..Report::default()
    };
    pool.scheduler.receive(key, report, at(1_615), 1, at(1_620));
    pool.stop(1_630);
    assert_eq!(pool.take_over(1_700), Ok(()));
    pool.join(&start.worker, 1_700);
    let early = pool.first_start(&start.task, 1_720, released_until - 20);
    assert_eq!(
        early, None,
        "the worker may be shut down until {released_until} ms"
    );
}

/// Checks that an owner that refuses a handover waits as after a crash for a silent worker.
fn check_is_refused(value: Vec<u8>, reason: Refusal) {
    let (mut pool, silent, live) = two_runs();
    pool.stop(1_030);
    pool.replace_row(value);
    assert_eq!(pool.take_over(1_100), Err(reason));
    check_waits(pool, &silent, &live);
}

/// Checks that a task of a silent worker starts within the wait after a crash, not before its lease
/// is over, and the one that runs never.
fn check_waits(mut pool: Pool, silent: &Start, live: &Start) {
    pool.register(&live.worker, 1_100);
    pool.report_runs(&live.worker, 1_110);
    pool.join("w3", 1_110);
    let wait_end = 1_100 + 3_000 + lease_span_ms();
    let started = pool.first_start(&silent.task, 1_120, wait_end + 200);
    let started = started.expect("a start after the wait");
    assert!(started >= 1_020 + lease_span_ms(), "at {started} ms");
    assert_eq!(pool.first_start(&live.task, wait_end, wait_end + 200), None);
}

fn stored_row() -> Row {
    two_runs().0.stop(1_030)
}

#[test]
fn malformed_handovers_are_refused() {
    let value = encode(&stored_row());
    for length in 0..value.len() {
        check_is_refused(value[..length].to_vec(), Refusal::Unreadable);
    }
}

#[test]
fn handover_of_another_layout_or_term_is_refused() {
    let row = stored_row();
    let layout = row.layout + 1;
    check_is_refused(
        encode(&Row {
            layout,
            ..row.clone()
        }),
        Refusal::Layout,
    );
    let term = row.term + 1;
    check_is_refused(encode(&Row { term, ..row }), Refusal::Term);
}

#[test]
fn missing_handover_is_refused() {
    let (mut pool, ..) = two_runs();
    pool.stop(1_030);
    let records = pool.store.records();
    let is_other = |record: &&hyssop_policy::owner::Record| record.table != "handover";
    let records: Vec<_> = records.iter().filter(is_other).cloned().collect();
    let mut next = Scheduler::new("pool", 2, Settings::default());
    next.recover(&records, at(4_000), at(1_000), 1_000);
    assert_eq!(
        next.accept_handover(&records, 1, at(1_000)),
        Err(Refusal::Missing)
    );
}

/// Takes the pool over with a changed row, and checks that it waits for the silent worker.
fn check_is_harmless(change: impl Fn(&mut Row, &Start)) {
    let (mut pool, silent, live) = two_runs();
    let mut row = pool.stop(1_030);
    change(&mut row, &silent);
    pool.replace_row(encode(&row));
    let _ = pool.take_over(1_100);
    check_waits(pool, &silent, &live);
}

#[test]
fn unknown_and_doubled_tasks_of_a_handover_are_harmless() {
    check_is_harmless(|row, _| {
        for entry in &mut row.workers {
            entry.tasks.push("no task".to_owned());
            entry
                .tasks
                .push(format!("{OTHER_JOB}.4294967295.4294967295.4294967295"));
            entry.tasks.push(format!("{JOB}.7.9.9"));
            let doubled = entry.tasks.clone();
            entry.tasks.extend(doubled);
            entry.stopping.push(format!("{JOB}.7.9.9"));
        }
    });
}

#[test]
fn unknown_workers_of_a_handover_are_harmless() {
    check_is_harmless(|row, _| {
        let mut unknown = row.workers[0].clone();
        unknown.id = "unknown".to_owned();
        unknown.incarnation = i64::MIN;
        unknown.tasks.clear();
        row.workers.push(unknown);
    });
}

/// The last of several entries of a worker counted, with a shorter lease and without the task.
#[test]
fn doubled_workers_of_a_handover_are_harmless() {
    check_is_harmless(|row, silent| {
        let found = row.workers.iter().find(|entry| entry.id == silent.worker);
        let mut doubled = found.expect("an entry").clone();
        doubled.lease_ms = 0;
        doubled.tasks.clear();
        row.workers.push(doubled);
    });
}

/// A row with a huge lease kept a task waiting for an hour.
#[test]
fn huge_durations_of_a_handover_are_harmless() {
    check_is_harmless(|row, _| {
        row.interrupt_pause_ms = u64::MAX;
        for entry in &mut row.workers {
            entry.lease_ms = u64::MAX;
            entry.released_ms = u64::MAX;
            entry.returns_ms = Some(u64::MAX);
        }
    });
}

proptest! {
    #![proptest_config(support::cases(2_000))]

    #[test]
    fn arbitrary_bytes_are_refused(value in vec(any::<u8>(), 0..200)) {
        let (mut pool, ..) = two_runs();
        pool.stop(1_030);
        pool.replace_row(value);
        assert_eq!(pool.take_over(1_100), Err(Refusal::Unreadable));
    }

    #[test]
    fn changed_bytes_do_not_panic(place in any::<usize>(), byte in any::<u8>()) {
        let (mut pool, ..) = two_runs();
        let mut value = encode(&pool.stop(1_030));
        let place = place % value.len();
        value[place] = byte;
        pool.replace_row(value);
        let _ = pool.take_over(1_100);
        pool.advance(1_200);
    }
}

/// Returns what an owner of `count` tasks on five workers hands over, whose rows are limited.
fn hand_over_within(max_row_bytes: usize, count: u32) -> Option<Row> {
    let settings = Settings {
        max_row_bytes,
        ..Settings::default()
    };
    let mut pool = Pool::with_settings(&["w0", "w1", "w2", "w3", "w4"], settings);
    let mut submission = job(1, count, 60_000);
    submission.steps[0].max_per_worker = count / 5;
    pool.submit(JOB, submission, 1_000);
    assert_eq!(pool.starts(1_020).len(), count as usize);
    pool.scheduler.begin_handover();
    pool.commit(1_030);
    let value = pool.scheduler.hand_over(at(1_030))?;
    assert!(value.len() <= max_row_bytes, "{} bytes", value.len());
    decode(&value)
}

#[test]
fn handover_that_exceeds_the_row_limit_names_no_tasks() {
    let row = hand_over_within(65_536, 40).expect("a row");
    assert!(row.has_placements);
    let row = hand_over_within(700, 40).expect("a reduced row");
    assert!(!row.has_placements);
    assert_eq!(row.workers.len(), 5);
    assert!(row.workers.iter().all(|entry| entry.tasks.is_empty()));
    assert!(row.workers.iter().all(|entry| entry.lease_ms > 0));
}

#[test]
fn handover_without_room_for_its_workers_is_not_stored() {
    assert!(hand_over_within(300, 5).is_none());
}

/// Checks that the next owner of a pool counts on the longest lease of a run that was meant for the
/// previous incarnation of the worker that runs it.
fn check_counts_on_longest_lease(take_over: impl Fn(&mut Pool)) {
    let (mut pool, stray, live) = two_runs();
    let next = work::Worker {
        incarnation: BORN + 50,
        ..model::worker(&stray.worker)
    };
    pool.scheduler.register_worker(next.clone(), at(1_050));
    pool.commit(1_100);
    take_over(&mut pool);
    pool.scheduler.register_worker(next, at(1_200));
    pool.register(&live.worker, 1_200);
    pool.report_runs(&live.worker, 1_210);
    pool.join("w3", 1_210);
    let key = pool.key(&stray.worker);
    let listed = Report {
        clock_ms: 10,
        incarnation: Some(BORN + 50),
        running: vec![running(&stray.task, stray.run)],
        ..Report::default()
    };
    pool.scheduler.receive(key, listed, at(1_210), 0, at(1_215));
    pool.scheduler.on_report_failure(key, at(1_220));
    let lease_end = 1_020 + Settings::default().max_lease_span().as_millis() as u64;
    let early = pool.first_start(&stray.task, 1_240, lease_end - 20);
    assert_eq!(early, None, "the lease may last until {lease_end} ms");
    assert!(pool.first_start(&stray.task, lease_end, 12_000).is_some());
}

/// An owner that had found a run of a previous incarnation counted on its long lease, and the next one
/// on a usual lease.
#[test]
fn next_owner_counts_on_the_longest_lease_of_a_next_incarnation() {
    check_counts_on_longest_lease(|pool| {
        pool.stop(1_100);
        assert_eq!(pool.take_over(1_200), Ok(()));
    });
}

#[test]
fn next_owner_after_a_crash_counts_on_the_longest_lease_of_a_next_incarnation() {
    check_counts_on_longest_lease(|pool| pool.recover(1_200));
}

/// The authority of an owner that had crashed, or was cut off, was forgotten by a planned stop of its
/// successor.
#[test]
fn next_incarnation_waits_for_the_authority_of_the_owner_before_the_last() {
    let (mut pool, silent, live) = two_runs();
    pool.recover(1_200);
    pool.register(&live.worker, 1_210);
    pool.report_runs(&live.worker, 1_220);
    pool.stop(1_500);
    assert_eq!(pool.take_over(1_600), Ok(()));
    let next = work::Worker {
        incarnation: BORN + 50,
        ..model::worker(&silent.worker)
    };
    pool.scheduler.register_worker(next, at(1_650));
    let key = pool.key(&silent.worker);
    pool.scheduler.on_report_failure(key, at(1_660));
    pool.register(&live.worker, 1_660);
    pool.report_runs(&live.worker, 1_670);
    pool.join("w3", 1_670);
    let settings = Settings::default();
    let authority_end = 1_200 + settings.authority.as_millis() as u64;
    let lease_end = authority_end + 700 + settings.max_lease_span().as_millis() as u64;
    pool.scheduler.on_report_failure(key, at(lease_end - 40));
    let early = pool.first_start(&silent.task, 1_680, lease_end - 20);
    assert_eq!(early, None, "the lease may last until {lease_end} ms");
    // The pause between the release and the takeover is added.
    let lease_end = lease_end + 100;
    pool.scheduler.on_report_failure(key, at(lease_end));
    let late = pool.first_start(&silent.task, lease_end, lease_end + 500);
    assert!(late.is_some());
}
