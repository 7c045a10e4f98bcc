//! Tasks whose runs fail, with real processes.

mod support;

use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use support::{configure, job, wait_until, Edge};

const POOL: &str = "alpha";
const LABEL: &str = "kind-b";

fn pool_of(machine_count: usize) -> Platform {
    Platform::start(&Shape {
        pools: vec![(POOL.to_owned(), machine_count)],
        spare: None,
    })
}

/// Returns a job of one task whose first run fails after `ms` milliseconds.
fn failing_once(ms: u64) -> Value {
    let mut failing = job(1, 1, ms);
    failing["specification"] = json!(format!("fails-first {ms}"));
    failing
}

/// A task that had failed once on the only worker with its label was never started again.
#[test]
fn failed_task_is_done_on_the_only_worker_with_its_label() {
    const PATH: &str = "/a/00000000000000a1";
    let platform = pool_of(4);
    configure(&platform, 1, &[("/a/", POOL)]);
    platform.replace_worker("m-alpha-0", &[LABEL, "r-0"]);
    let edge = Edge::start(&platform, "e0");
    let mut failing = failing_once(200);
    failing["steps"][0]["requirements"] = json!(LABEL);
    edge.submit_until_accepted(PATH, &failing);
    wait_until("the job is done", || edge.state(PATH) == "done");
    assert_eq!(platform.started_tasks().len(), 2);
}

/// The rules of a removed queue were known only to the owner that had seen the queue, so that its
/// successor took the first failure for the last.
#[test]
fn job_of_a_removed_queue_is_done_after_a_planned_stop_and_a_failure() {
    const PATH: &str = "/k/00000000000000a1";
    const BOTH: [(&str, &str); 2] = [("/a/", POOL), ("/k/", POOL)];
    let platform = pool_of(1);
    configure(&platform, 1, &BOTH);
    let mut first = Edge::start(&platform, "e0");
    first.submit_until_accepted(PATH, &failing_once(4_000));
    wait_until("the task runs", || platform.started_tasks().len() == 1);
    let second = Edge::start(&platform, "e1");
    configure(&platform, 2, &BOTH[..1]);
    let has_removed = |edge: &Edge| edge.call("GET", "/k/", "").0 == 404;
    wait_until("the queue is removed", || {
        has_removed(&first) && has_removed(&second)
    });
    first.terminate();
    wait_until("the successor owns the pool", || second.owns(POOL));
    wait_until("the first run has failed and the task runs again", || {
        platform.started_tasks().len() == 2
    });
    configure(&platform, 3, &BOTH);
    wait_until("the job is done", || second.state(PATH) == "done");
}
