//! Queues whose tasks start only with tickets of the advice service, with real processes.

mod support;

use platform_standin::{AdviceShape, Platform, Shape};
use serde_json::json;
use std::time::Duration;
use support::{configuration, job, wait_until, Edge};

const POOLS: [(&str, &str); 2] = [("/a/", "alpha"), ("/b/", "beta")];
const MACHINES_PER_POOL: usize = 4;

/// Starts a platform on which both pools require tickets.
fn platform_with_advice(decision_ms: u64, each_ms: u64, valid_ms: u64) -> Platform {
    let platform = Platform::start(&Shape {
        pools: POOLS
            .map(|(_, pool)| (pool.to_owned(), MACHINES_PER_POOL))
            .to_vec(),
        spare: None,
    });
    platform.require_advice(AdviceShape {
        pools: POOLS.map(|(_, pool)| pool.to_owned()).to_vec(),
        decision: Duration::from_millis(decision_ms),
        each: Duration::from_millis(each_ms),
        validity: Duration::from_millis(valid_ms),
    });
    let mut value = configuration(1, &POOLS);
    for route in value["routes"].as_array_mut().expect("routes") {
        route["advice"] =
            json!({ "decision-ms": decision_ms, "each-ms": each_ms, "valid-ms": valid_ms });
    }
    platform.write_operator_row("config", &value);
    platform
}

/// Submits `count` jobs to each pool, one at a time, and returns the paths of those that are accepted.
fn submit_burst(edge: &Edge, count: usize, pause: Duration) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0..count {
        for (prefix, _) in POOLS {
            let path = format!("{prefix}{:016x}", 0xa000 + number);
            if edge.call("POST", &path, &job(1, 1, 100).to_string()).0 == 200 {
                accepted.push(path);
            }
        }
        std::thread::sleep(pause);
    }
    accepted
}

fn wait_until_done(edge: &Edge, paths: &[String]) {
    for path in paths {
        wait_until("an accepted job is done", || edge.state(path) == "done");
    }
}

/// Tickets were taken for expired when their requests had waited for a free connection, so that none of the
/// waiting jobs was ever started.
#[test]
fn accepted_jobs_of_a_burst_are_done_though_their_requests_wait_longer_than_tickets_are_valid() {
    let platform = platform_with_advice(100, 5, 900);
    let edge = Edge::start(&platform, "e0");
    edge.submit_until_accepted("/a/00000000000000ff", &job(1, 1, 50));
    edge.submit_until_accepted("/b/00000000000000ff", &job(1, 1, 50));
    let accepted = submit_burst(&edge, 20, Duration::from_millis(10));
    assert!(accepted.len() >= 20, "{} accepted", accepted.len());
    wait_until_done(&edge, &accepted);
}

/// Tickets arrived expired if the service took longer for a request than they are valid.
#[test]
fn job_is_done_though_a_request_takes_longer_than_tickets_are_valid() {
    let platform = platform_with_advice(600, 5, 500);
    let edge = Edge::start(&platform, "e0");
    let paths = ["/a/00000000000000a1", "/b/00000000000000b1"].map(str::to_owned);
    for path in &paths {
        edge.submit_until_accepted(path, &job(1, 1, 100));
    }
    wait_until_done(&edge, &paths);
}

/// Jobs that the service can't answer in time were accepted and waited beside idle workers.
#[test]
fn jobs_beyond_what_the_service_can_answer_are_refused_with_a_time_to_return() {
    let platform = platform_with_advice(1_000, 0, 3_000);
    let edge = Edge::start(&platform, "e0");
    edge.submit_until_accepted("/a/00000000000000ff", &job(1, 1, 50));
    let answers = (0..30).map(|number| {
        let path = format!("/a/{:016x}", 0xa000 + number);
        edge.call_for_retry("", &path, &job(1, 1, 100).to_string())
    });
    let refused: Vec<(i32, bool)> = answers.filter(|(status, _)| *status != 200).collect();
    assert!(!refused.is_empty(), "all were accepted");
    let is_deferred = |(status, has_retry): &(i32, bool)| *status == 503 && *has_retry;
    assert!(refused.iter().all(is_deferred), "{refused:?}");
}
