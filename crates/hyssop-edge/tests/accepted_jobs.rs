//! Floods of valid jobs that can't end soon: the owner and its successor keep within their memory, what
//! was accepted is known, what was refused has not run, and an ordinary job is accepted afterwards.

mod support;

use platform_standin::{Access, Platform};
use serde_json::Value;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::caller::{Connection, Outcome};
use support::crowd::memory_kib;
use support::flood::{Flood, Outcomes};
use support::{job, platform, wait_until, Edge};

/// The limit in the settings of a process; one of the debug build holds some 9 MB when idle.
const MEMORY_MB: usize = 40;
/// The limit of an instance on which a flood alone exceeds nothing.
const LARGE_MEMORY_MB: usize = 512;
/// The jobs of a flood. A job of 200 steps takes some 64 KB in its owner's memory.
const LONG_JOBS: u64 = 1_000;
/// A job of 2,000 tasks takes some 200 KB.
const WIDE_JOBS: u64 = 500;
/// Jobs of as many tasks that need neither CPU nor memory.
const IDLE_JOBS: u64 = 50;
const STEPS: usize = 200;
const TASKS: u32 = 2_000;
const OCCURRENCES: u32 = 100;
/// Longer than the test.
const TASK_MS: u64 = 300_000;
const FIRST: &str = "/a/00000000000000f1";
const ORDINARY: &str = "/a/00000000000000f2";

/// Floods are measured one at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn start(platform: &Platform, name: &str, memory_mb: usize) -> Edge {
    Edge::start_with(
        platform,
        name,
        &format!("[limits]\nmemory-mb = {memory_mb}"),
    )
}

fn flood<'a>(prefix: &'a str, count: u64, body: &Value) -> Flood<'a> {
    Flood {
        prefix,
        first: 0,
        count,
        body: body.to_string(),
        cancels: false,
        deadline_ms: None,
    }
}

/// Returns a job with more tasks than the pool has room for.
fn wide_job() -> Value {
    job(1, TASKS, TASK_MS)
}

/// Returns a job with as many tasks in occurrences that are all due.
fn overdue_job() -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first_at = now.expect("a time after 1970") - Duration::from_secs(3_600);
    let mut value = job(1, TASKS / OCCURRENCES, TASK_MS);
    value["repetitions"] = OCCURRENCES.into();
    value["start-at-ms"] = (first_at.as_millis() as u64).into();
    value["interval-ms"] = 1_u32.into();
    value
}

fn assert_within_memory(edge: &Edge, memory_mb: usize) {
    let peak = memory_kib(edge);
    println!("peak {peak} KiB");
    let limit = memory_mb * 1_000_000 / 1_024;
    assert!(peak <= limit, "{peak} KiB, allowed {limit} KiB");
}

/// Asserts that each job's state agrees with what its caller was told.
fn assert_truthful(edge: &Edge, flood: &Outcomes) {
    println!(
        "accepted {}, refused {}, others {}",
        flood.accepted.len(),
        flood.refused.len(),
        flood.others.len()
    );
    assert!(flood.others.is_empty(), "{:?}", flood.others.first());
    for path in &flood.accepted {
        assert_eq!(edge.call("GET", path, "").0, 200, "{path} was accepted");
    }
    for path in &flood.refused {
        assert_eq!(edge.call("GET", path, "").0, 410, "{path} was refused");
    }
}

/// Asserts that the owner of a flooded pool keeps within its memory, and so does its successor.
fn assert_survives(count: u64, body: &Value) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let mut owner = start(&platform, "e1", MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    let flood = flood("/a/", count, body).send(&owner);
    assert_truthful(&owner, &flood);
    owner.submit_until_accepted(ORDINARY, &job(1, 1, 10));
    assert_within_memory(&owner, MEMORY_MB);
    let successor = start(&platform, "e2", MEMORY_MB);
    wait_until("the standby serves", || successor.state(FIRST) == "done");
    owner.kill();
    wait_until("the successor owns the pool", || successor.owns("alpha"));
    assert_truthful(&successor, &flood);
    wait_until("an ordinary job is accepted", || {
        let path = "/a/00000000000000f3";
        successor.call("POST", path, &job(1, 1, 10).to_string()).0 == 200
    });
    assert_within_memory(&successor, MEMORY_MB);
}

/// 4,138 jobs of 15 KB took their owner 273 MB, and its successor 394 MB.
#[test]
fn jobs_of_many_steps_do_not_exhaust_memory() {
    assert_survives(LONG_JOBS, &job(STEPS, 1, TASK_MS));
}

/// A body of 100 bytes took 200 KB, and up to 1 MB with 10,000 tasks.
#[test]
fn jobs_of_many_tasks_do_not_exhaust_memory() {
    assert_survives(WIDE_JOBS, &wide_job());
}

#[test]
fn jobs_of_many_occurrences_do_not_exhaust_memory() {
    assert_survives(WIDE_JOBS, &overdue_job());
}

/// Tasks that need nothing all fit on one worker, and the start of each was under way at once.
#[test]
fn tasks_without_needs_do_not_exhaust_memory() {
    let mut body = wide_job();
    body["steps"][0]["cpu"] = 0.into();
    body["steps"][0]["mem-mb"] = 0.into();
    assert_survives(IDLE_JOBS, &body);
}

/// Several pools of one process are bounded together.
#[test]
fn jobs_of_two_pools_do_not_exhaust_memory() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let owner = start(&platform, "e1", MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    for (prefix, first) in [("/a/", 0), ("/b/", LONG_JOBS)] {
        let flood = Flood {
            first,
            ..flood(prefix, LONG_JOBS / 2, &job(STEPS, 1, TASK_MS))
        };
        assert_truthful(&owner, &flood.send(&owner));
    }
    owner.submit_until_accepted(ORDINARY, &job(1, 1, 10));
    assert_within_memory(&owner, MEMORY_MB);
}

/// A successor may run on a smaller instance than the owner that accepted the jobs.
#[test]
fn jobs_of_a_larger_owner_do_not_exhaust_its_successor() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let mut owner = start(&platform, "e1", LARGE_MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    let successor = start(&platform, "e2", MEMORY_MB);
    wait_until("the standby serves", || successor.state(FIRST) == "done");
    let flood = flood("/a/", LONG_JOBS, &job(STEPS, 1, TASK_MS)).send(&owner);
    owner.kill();
    wait_until("the successor owns the pool", || successor.owns("alpha"));
    assert_truthful(&successor, &flood);
    successor.submit_until_accepted(ORDINARY, &job(1, 1, 10));
    assert_within_memory(&successor, MEMORY_MB);
}

/// A cancelled job kept its steps and tasks until it was forgotten, 130 s later.
#[test]
fn cancelled_jobs_do_not_exhaust_memory() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let owner = start(&platform, "e1", MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    let flood = Flood {
        cancels: true,
        ..flood("/a/", WIDE_JOBS, &wide_job())
    };
    let flood = flood.send(&owner);
    assert_truthful(&owner, &flood);
    owner.submit_until_accepted(ORDINARY, &job(1, 1, 10));
    assert_within_memory(&owner, MEMORY_MB);
}

/// An owner that was replaced kept its jobs until it owned the pool again.
#[test]
fn replaced_owner_holds_no_jobs() {
    const HELD: &str = "hyssop_intake_job_bytes ";
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let owner = start(&platform, "e1", MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    let successor = start(&platform, "e2", MEMORY_MB);
    wait_until("the standby serves", || successor.state(FIRST) == "done");
    flood("/a/", WIDE_JOBS, &wide_job()).send(&owner);
    assert!(owner.metric(HELD) > Some(0.0));
    owner.signal("STOP");
    wait_until("the successor owns the pool", || successor.owns("alpha"));
    owner.signal("CONT");
    wait_until("the owner has forgotten the jobs", || {
        owner.metric(HELD) == Some(0.0)
    });
    assert!(successor.metric(HELD) > Some(0.0));
}

/// A job whose caller gave up before it was stored left its waiting request behind, some 850 bytes.
#[test]
fn callers_that_give_up_early_do_not_exhaust_memory() {
    const REQUESTS: u64 = 40_000;
    const MEMORY_MB: usize = 24;
    /// Leaves a millisecond for the store.
    const DEADLINE_MS: u64 = 101;
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let owner = start(&platform, "e1", MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    let flood = Flood {
        deadline_ms: Some(DEADLINE_MS),
        ..flood("/a/", REQUESTS, &job(1, 1, 1))
    };
    let outcomes = flood.send(&owner);
    println!(
        "accepted {}, refused {}, others {}",
        outcomes.accepted.len(),
        outcomes.refused.len(),
        outcomes.others.len()
    );
    owner.submit_until_accepted(ORDINARY, &job(1, 1, 10));
    assert_within_memory(&owner, MEMORY_MB);
}

/// A repeated request was told that the job has not run, while the first one was on its way to the store.
#[test]
fn job_on_its_way_to_the_store_is_not_refused_when_it_is_submitted_again() {
    const PATH: &str = "/a/00000000000000f4";
    const DEADLINE_MS: u64 = 400;
    /// Longer than the store may be silent until new jobs are refused at once.
    const OUTAGE: Duration = Duration::from_millis(1_000);
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let platform = platform();
    let owner = start(&platform, "e1", MEMORY_MB);
    owner.submit_until_accepted(FIRST, &job(1, 1, 10));
    wait_until("the job is done", || owner.state(FIRST) == "done");
    // The last rows of that job are stored.
    std::thread::sleep(OUTAGE);
    platform.set_access_of_all(Access::Unanswered);
    let submit = |path: &str| {
        let mut connection = Connection::open(&owner.front).expect("a connection");
        connection.deadline_ms = Some(DEADLINE_MS);
        connection.request("POST", path, &job(1, 1, 10).to_string())
    };
    let first = submit(PATH);
    assert!(first.has_status(504), "{first:?}");
    std::thread::sleep(OUTAGE);
    let refusal = Outcome::Answered {
        status: 503,
        has_retry_after: true,
    };
    assert_eq!(submit(ORDINARY), refusal, "a new job");
    let second = submit(PATH);
    assert!(second.has_status(504), "{second:?}");
    platform.set_access_of_all(Access::Open);
    wait_until("the job is done", || owner.state(PATH) == "done");
}
