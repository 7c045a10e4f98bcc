//! Processes that read lists in which another writer left odd entries.

mod support;

use platform_standin::Platform;
use serde_json::{json, Value};
use support::{configure, job, platform, wait_until, Edge};

const FIRST: &str = "5c0e7a21d94b36f8";
const SECOND: &str = "5c0e7a21d94b36f9";

fn registration() -> Value {
    json!({
        "service": "alpha", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1",
        "slots": 8, "state": "ready", "cold-remaining-ms": 0, "labels": ["kind-a", "r-1"],
        "capacity": { "cpu": 16000, "mem-mb": 65536, "gpu": 0 }, "sequence": 1, "born": 5,
        "machine": "m-odd",
    })
}

/// Returns odd registrations of workers, by key.
fn odd_registrations() -> Vec<(String, Vec<u8>)> {
    let with = |field: &str, value: Value| {
        let mut row = registration();
        row[field] = value;
        row.to_string().into_bytes()
    };
    let text = registration().to_string();
    let nested = format!("{}1{}", "[".repeat(20_000), "]".repeat(20_000));
    let unbounded = json!({ "cpu": u64::MAX, "mem-mb": u64::MAX, "gpu": u64::MAX });
    let labels: Vec<String> = (0..5_000).map(|n| format!("label-{n}")).collect();
    let mut odd = vec![
        ("odd-nested", text.replace("\"v1\"", &nested).into_bytes()),
        ("odd-number", text.replace("\"v1\"", "1e999").into_bytes()),
        ("odd-capacity", with("capacity", unbounded)),
        ("odd-port", with("address", json!("127.0.0.1:65536"))),
        ("odd-port-0", with("address", json!("127.0.0.1:0"))),
        ("odd-start", with("born", json!("17"))),
        ("odd-labels", with("labels", json!(labels))),
        ("odd-type", with("service", json!(["alpha"]))),
        ("odd-empty", Vec::new()),
        ("odd-bytes", b"\xff\xfe\x00".to_vec()),
        ("odd\nline@7", text.clone().into_bytes()),
        ("", text.clone().into_bytes()),
    ]
    .into_iter()
    .map(|(key, bytes)| (key.to_owned(), bytes))
    .collect::<Vec<_>>();
    odd.push(("k".repeat(200), text.into_bytes()));
    odd
}

fn write_odd_registrations(platform: &Platform) {
    for (key, bytes) in odd_registrations() {
        platform.write_own_row("servers", "", &key, &bytes);
    }
}

/// Moves a spare machine into the pool `alpha`, where a new worker registers.
fn add_worker(platform: &Platform, machine: &str) {
    let url = format!("http://{}/machine-move", platform.machines);
    let body = json!({ "machine": machine, "pool": "alpha" }).to_string();
    let response = minreq::post(url).with_body(body).with_timeout(5).send();
    assert_eq!(response.expect("an answer").status_code, 200);
}

/// Returns a job of one task that no worker but a new one has room for.
fn filling_job(count: u32) -> Value {
    json!({
        "specification": "600000",
        "steps": [{ "count": count, "cpu": 16_000, "mem-mb": 16, "estimated-ms": 600_000 }],
    })
}

fn rejected(edges: &[Edge]) -> f64 {
    let name = "hyssop_rejected_entries_total{list=\"workers\"}";
    let counts = edges.iter().filter_map(|edge| edge.metric(name));
    counts.fold(0.0, f64::max)
}

#[test]
fn odd_entries_among_workers_end_no_process_and_hide_no_worker() {
    let platform = platform();
    write_odd_registrations(&platform);
    let edges = ["e1", "e2"].map(|name| Edge::start(&platform, name));
    edges[0].submit_until_accepted(&format!("/a/{FIRST}"), &job(2, 4, 100));
    wait_until("the job beside odd entries is done", || {
        edges[1].state(&format!("/a/{FIRST}")) == "done"
    });
    let before = rejected(&edges);
    assert!(before >= odd_registrations().len() as f64, "{before}");

    // Each is written again while the processes run: the same bytes count once.
    write_odd_registrations(&platform);
    // Three tasks fill the three workers of the pool; the fourth needs a new one.
    edges[0].submit_until_accepted(&format!("/a/{SECOND}"), &filling_job(4));
    wait_until("the workers are full", || {
        platform.started_tasks().len() >= 8 + 3
    });
    add_worker(&platform, "m-spare-0");
    wait_until("the new worker is used", || {
        platform.started_tasks().len() >= 8 + 4
    });
    assert_eq!(platform.overlapping_tasks(), Vec::<String>::new());
    assert_eq!(rejected(&edges), before, "the same bytes count once");
    for edge in &edges {
        assert!(!edge.has_logged("panicked"));
        assert!(edge.metric("hyssop_peer_links").is_some(), "it answers");
        assert!(!edge.has_logged("event=owner-deposed"));
    }
}

#[test]
fn odd_entry_of_running_worker_neither_stops_nor_repeats_its_tasks() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    let path = format!("/b/{FIRST}");
    edge.submit_until_accepted(&path, &job(1, 6, 3_000));
    wait_until("its tasks run", || platform.started_tasks().len() == 6);
    for id in platform.worker_ids() {
        let mut row = registration();
        row["born"] = json!("17");
        platform.write_own_row("servers", "", &id, row.to_string().as_bytes());
    }
    wait_until("the job is done", || edge.state(&path) == "done");
    assert_eq!(platform.overlapping_tasks(), Vec::<String>::new());
    assert_eq!(platform.started_tasks().len(), 6, "no task started twice");
    assert!(edge.has_logged("event=entry-rejected list=workers"));
}

#[test]
fn unreadable_changes_of_list_are_passed_by_new_snapshot() {
    let platform = platform();
    let edges = ["e1", "e2"].map(|name| Edge::start(&platform, name));
    edges[0].submit_until_accepted(&format!("/a/{FIRST}"), &filling_job(4));
    wait_until("the workers are full", || {
        platform.started_tasks().len() >= 3
    });
    platform.set_unreadable_feed(Some("servers"));
    add_worker(&platform, "m-spare-0");
    wait_until("the new worker is used", || {
        platform.started_tasks().len() >= 4
    });
    platform.set_unreadable_feed(None);
    assert!(edges
        .iter()
        .any(|edge| edge.has_logged("event=list-unreadable")));
    let lost = "event=dependency-lost";
    assert!(!edges.iter().any(|edge| edge.has_logged(lost)));
    let path = format!("/b/{SECOND}");
    edges[1].submit_until_accepted(&path, &job(1, 2, 50));
    wait_until("the job is done", || edges[0].state(&path) == "done");
}

#[test]
fn odd_rows_of_operators_leave_configuration_and_waves_in_force() {
    let platform = platform();
    let edge = Edge::start(&platform, "e1");
    edge.submit_until_accepted(&format!("/a/{FIRST}"), &job(1, 1, 50));
    let odd = json!({ "wave": 1, "machines": [7], "duration-s": 1e300, "cap": -1 });
    platform.write_operator_row("wave/1", &odd);
    platform.write_own_row("op", "", "wave/99999999999999999999", b"{}");
    platform.write_own_row("op", "", "config", b"[[[");
    wait_until("the rows are rejected", || {
        let name = "hyssop_rejected_entries_total{list=\"operators\"}";
        edge.metric(name) == Some(3.0)
    });
    edge.submit_until_accepted(&format!("/a/{SECOND}"), &job(1, 1, 50));
    configure(&platform, 2, &[("/c/", "beta")]);
    edge.submit_until_accepted(&format!("/c/{SECOND}"), &job(1, 1, 50));
}
