//! End-to-end tests from callers through edge processes to store, workers and machines.

mod support;

use serde_json::{json, Value};
use std::collections::BTreeSet;
use support::{announce_wave, configure, job, platform, wait_for_wave, wait_until, Edge};

const ID: &str = "5c0e7a21d94b36f8";

#[test]
fn job_runs_to_completion_and_every_edge_reports_it() {
    let platform = platform();
    let edges = ["e1", "e2", "e3"].map(|name| Edge::start(&platform, name));
    let path = format!("/a/{ID}");
    edges[0].submit_until_accepted(&path, &job(2, 3, 100));
    for edge in &edges {
        wait_until("the job is done", || edge.state(&path) == "done");
    }
    let started = platform.started_tasks();
    let distinct: BTreeSet<&String> = started.iter().collect();
    assert_eq!(
        (started.len(), distinct.len()),
        (6, 6),
        "each task started once"
    );
    assert_eq!(edges[1].call("GET", "/a/", "").1["waiting"], json!(0));
    edges[2].submit_until_accepted(&path, &job(2, 3, 100));
    assert_eq!(
        edges[2].state(&path),
        "done",
        "a repeated submission does not create a second job"
    );
}

#[test]
fn running_job_is_cancelled() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    let path = format!("/b/{ID}");
    edge.submit_until_accepted(&path, &job(1, 2, 600_000));
    wait_until("the job runs", || edge.state(&path) == "running");
    wait_until("the cancellation is stored", || {
        edge.call("DELETE", &path, "").0 == 200
    });
    assert_eq!(edge.state(&path), "cancelled");
}

#[test]
fn job_fails_after_max_attempts_of_a_failing_task() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    let path = format!("/a/{ID}");
    let mut failing = job(1, 1, 50);
    failing["specification"] = json!("fail");
    edge.submit_until_accepted(&path, &failing);
    wait_until("the job has failed", || edge.state(&path) == "failed");
    assert_eq!(
        platform.started_tasks().len(),
        2,
        "one start for each of max-attempts"
    );
}

#[test]
fn rejects_invalid_requests_with_reason() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted(&format!("/a/{ID}"), &job(1, 1, 50));
    let assert_rejected = |method: &str, path: &str, body: &str, status: i32, text: &str| {
        let (answered_status, reply) = edge.call(method, path, body);
        let reason = reply["error"].as_str().unwrap_or("").to_owned();
        assert_eq!(answered_status, status, "{method} {path}: {reason}");
        assert!(reason.contains(text), "{method} {path}: {reason}");
    };
    let valid = job(1, 1, 50).to_string();
    assert_rejected("POST", "/a/12", &valid, 400, "16 hexadecimal digits");
    assert_rejected(
        "POST",
        "/a/zz0e7a21d94b36f8",
        &valid,
        400,
        "16 hexadecimal digits",
    );
    assert_rejected("POST", "/c/5c0e7a21d94b36f9", &valid, 404, "no such queue");
    assert_rejected("GET", "/a/5c0e7a21d94b36f9", "", 410, "no such job");
    assert_rejected("DELETE", "/a/5c0e7a21d94b36f9", "", 410, "no such job");
    assert_rejected("PUT", "/a/5c0e7a21d94b36f9", &valid, 405, "use POST");
    assert_rejected("POST", "/a/5c0e7a21d94b36f9", "{", 400, "no job");
    assert_rejected(
        "POST",
        "/a/5c0e7a21d94b36f9",
        r#"{"steps":7}"#,
        400,
        "no job",
    );
    assert_rejected(
        "POST",
        "/a/5c0e7a21d94b36f9",
        r#"{"steps":[]}"#,
        400,
        "steps",
    );
    assert_rejected(
        "POST",
        "/a/5c0e7a21d94b36f9",
        r#"{"steps":[{"count":0}]}"#,
        400,
        "no tasks",
    );
    let forward_dependency = r#"{"steps":[{"count":1,"after":[1]},{"count":1}]}"#;
    assert_rejected(
        "POST",
        "/a/5c0e7a21d94b36f9",
        forward_dependency,
        400,
        "earlier steps",
    );
    let too_long = json!({ "specification": "x".repeat(4_001), "steps": [{ "count": 1 }] });
    assert_rejected(
        "POST",
        "/a/5c0e7a21d94b36f9",
        &too_long.to_string(),
        400,
        "4001 bytes",
    );
    assert_rejected(
        "POST",
        "/a/5c0e7a21d94b36f9",
        &"x".repeat(70_000),
        413,
        "65536 bytes",
    );
}

#[test]
fn killed_owner_is_replaced_and_its_jobs_complete() {
    let platform = platform();
    let mut edges: Vec<Edge> = ["e1", "e2", "e3"]
        .iter()
        .map(|name| Edge::start(&platform, name))
        .collect();
    let paths: Vec<String> = (0..6)
        .map(|n| format!("/{}/{n:016x}", if n % 2 == 0 { "a" } else { "b" }))
        .collect();
    for path in &paths {
        edges[2].submit_until_accepted(path, &job(2, 2, 700));
    }
    edges[0].kill();
    edges[1].kill();
    for path in &paths {
        wait_until("the job is done", || edges[2].state(path) == "done");
    }
    let started = platform.started_tasks();
    let distinct: BTreeSet<&String> = started.iter().collect();
    assert_eq!(started.len(), distinct.len(), "no task started twice");
}

#[test]
fn stopped_owner_releases_its_pools_and_exits_with_success() {
    let platform = platform();
    let mut first = Edge::start(&platform, "e1");
    let path = format!("/a/{ID}");
    first.submit_until_accepted(&path, &job(1, 2, 2_000));
    let second = Edge::start(&platform, "e2");
    wait_until("the second process reports the job", || {
        second.state(&path) == "running"
    });
    first.terminate();
    assert!(first.wait(), "the process exits with success");
    wait_until("the job is done", || second.state(&path) == "done");
    assert_eq!(platform.started_tasks().len(), 2, "no task started twice");
}

#[test]
fn added_queue_is_served_and_removed_queue_is_not() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted(&format!("/a/{ID}"), &job(1, 1, 50));
    configure(&platform, 9, &[("/n/", "beta")]);
    wait_for_status(&edge, "/n/5c0e7a21d94b36f9", 200);
    wait_for_status(&edge, "/a/5c0e7a21d94b36f7", 404);
    configure(&platform, 8, &[("/a/", "alpha")]);
    std::thread::sleep(std::time::Duration::from_millis(300));
    wait_for_status(&edge, "/a/5c0e7a21d94b36f7", 404);
}

fn wait_for_status(edge: &Edge, path: &str, status: i32) {
    let body = job(1, 1, 50).to_string();
    wait_until("the new configuration is in force", || {
        edge.call("POST", path, &body).0 == status
    });
}

#[test]
fn wave_maintains_every_machine_and_reports_completion() {
    let platform = platform();
    let _edges = ["e1", "e2"].map(|name| Edge::start(&platform, name));
    let machines: Vec<String> = platform.pools().into_keys().collect();
    announce_wave(&platform, &machines, 20, 2);
    wait_for_wave(&platform, "done");
    let maintained: BTreeSet<String> = platform
        .orders()
        .into_iter()
        .filter(|(_, order, _)| order == "upkeep")
        .map(|(machine, ..)| machine)
        .collect();
    assert_eq!(maintained.len(), machines.len());
}

#[test]
fn spare_machines_join_pool_with_waiting_tasks_and_return() {
    let platform = platform();
    let count = |name: &str| {
        platform
            .pools()
            .values()
            .filter(|pool| *pool == name)
            .count()
    };
    let (own, spare) = (count("beta"), count("spare"));
    let edges = ["e1", "e2"].map(|name| Edge::start(&platform, name));
    let mut large_job: Value = job(1, 40, 1_500);
    large_job["steps"][0]["cpu"] = json!(2_000);
    edges[0].submit_until_accepted(&format!("/b/{ID}"), &large_job);
    wait_until("the pool has more than its own machines", || {
        count("beta") > own
    });
    // Idle pools also move machines of their own to the spare pool, so it may be larger than at the
    // start.
    wait_until("the pool has returned the borrowed machines", || {
        count("beta") <= own && count("spare") >= spare
    });
    wait_until("the job is done", || {
        edges[1].state(&format!("/b/{ID}")) == "done"
    });
}

#[test]
fn unanswered_transactions_take_effect_once() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted(&format!("/a/{ID}"), &job(1, 1, 50));
    platform.set_unanswered_interval(3);
    let paths: Vec<String> = (0..4).map(|n| format!("/a/{n:016x}")).collect();
    for path in &paths {
        edge.submit_until_accepted(path, &job(2, 2, 50));
    }
    for path in &paths {
        wait_until("the job is done", || edge.state(path) == "done");
    }
    platform.set_unanswered_interval(0);
    assert!(platform.overlapping_tasks().is_empty());
    let started = platform.started_tasks();
    let distinct: BTreeSet<&String> = started.iter().collect();
    assert_eq!(started.len(), distinct.len(), "no task started twice");
}
