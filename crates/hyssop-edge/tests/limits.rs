//! Jobs and waves whose rows come near the limits of the platform's store.

mod support;

use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{announce_wave, configure, job, wait_for_wave, wait_until, Edge, HOST};

const POOL: &str = "alpha";
const EARLIER: &str = "/a/00000000000000a0";
const HOURLY: &str = "/a/00000000000000a1";
const LATER: &str = "/a/00000000000000a2";
const HOUR: Duration = Duration::from_secs(3_600);

/// The row of a job with 30 days of past times was larger than the store takes, so that its pool had
/// no owner from then on, also after a restart.
#[test]
fn pool_serves_all_jobs_beside_one_with_many_past_occurrences() {
    const PAST_HOURS: u32 = 720;
    let platform = Platform::start(&Shape {
        pools: vec![(POOL.to_owned(), 3)],
        spare: None,
    });
    configure(&platform, 1, &[("/a/", POOL)]);
    let mut owner = Edge::start(&platform, "e0");
    owner.submit_until_accepted(EARLIER, &job(2, 2, 1_500));
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let first_at = now.expect("a time after 1970") - HOUR * PAST_HOURS;
    let mut hourly: Value = job(4, 1, 20);
    hourly["repetitions"] = (PAST_HOURS + 100).into();
    hourly["start-at-ms"] = (first_at.as_millis() as u64).into();
    hourly["interval-ms"] = (HOUR.as_millis() as u64).into();
    owner.submit_until_accepted(HOURLY, &hourly);
    wait_until("an occurrence runs", || platform.started_tasks().len() > 2);
    let successor = Edge::start(&platform, "e1");
    wait_until("the successor serves callers", || {
        successor.state(HOURLY) == "running"
    });
    owner.kill();
    successor.submit_until_accepted(LATER, &job(1, 1, 10));
    for path in [EARLIER, LATER] {
        wait_until("the job is done", || successor.state(path) == "done");
    }
    assert!(!successor.has_logged("event=transaction-invalid"));
}

/// The progress of a wave outgrew its row once half of the wave was done, so that each owner of the
/// fleet ended its term and the wave stayed as it was.
#[test]
fn wave_whose_announcement_fills_half_a_row_ends() {
    const MACHINE_COUNT: usize = 230;
    const CAP: u32 = 60;
    let spare = format!("spare-{}", "x".repeat(150));
    let platform = Platform::start(&Shape {
        pools: vec![(POOL.to_owned(), 1), (spare.clone(), MACHINE_COUNT)],
        spare: Some(spare.clone()),
    });
    let configuration = json!({
        "version": 1,
        "routes": [{
            "name": "a", "hostname": HOST, "path-prefix": "/a/", "kind": "unsafe",
            "timeout-ms": 3000, "priority": 0, "target-latency-ms": 600, "service": POOL,
            "max-attempts": 2, "stretch": 1.6,
        }],
        "limits": { "max-body-bytes": 65_536 },
        "services": [
            { "name": POOL, "rejects-overload": true },
            { "name": spare, "rejects-overload": true, "spare": true },
        ],
    });
    platform.write_operator_row("config", &configuration);
    let edge = Edge::start(&platform, "e0");
    let machines: Vec<String> = platform.pools().into_keys().collect();
    announce_wave(&platform, &machines, 60, CAP);
    wait_for_wave(&platform, "done");
    assert!(!edge.has_logged("event=transaction-invalid"));
}
