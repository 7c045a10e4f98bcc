//! Open connections that go silent for good, without a reset, while new ones work; with real processes.

mod support;

use platform_standin::{Access, AdviceShape, Platform, Service, Shape};
use serde_json::{json, Value};
use std::time::Duration;
use support::{announce_wave, configuration, job, wait_for_wave, wait_until, Edge};

const POOLS: [(&str, &str); 4] = [
    ("/a/", "alpha"),
    ("/b/", "beta"),
    ("/c/", "gamma"),
    ("/d/", "delta"),
];
const MACHINES_PER_POOL: usize = 3;
/// After this time without a disruption the platform's rules hold again (`contact-window-ms`).
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// The delay of the store's answers, during which a process opens several connections.
const STORE_DELAY: Duration = Duration::from_millis(4);

fn start_platform(advice: Option<AdviceShape>) -> Platform {
    let platform = Platform::start(&Shape {
        pools: POOLS
            .map(|(_, pool)| (pool.to_owned(), MACHINES_PER_POOL))
            .to_vec(),
        spare: None,
    });
    let mut value = configuration(1, &POOLS);
    let services = POOLS.map(|(_, pool)| json!({ "name": pool, "rejects-overload": true }));
    value["services"] = json!(services);
    if advice.is_some() {
        value["routes"][0]["advice"] =
            json!({ "decision-ms": 10, "each-ms": 1, "valid-ms": 3_000 });
    }
    platform.write_operator_row("config", &value);
    if let Some(shape) = advice {
        platform.require_advice(shape);
    }
    platform
}

fn lasting_job() -> Value {
    let mut lasting = job(1, 2, 900);
    lasting["specification"] = json!("lasts");
    lasting["steps"][0]["long-running"] = json!(true);
    lasting
}

/// Returns the path of the job that lasts in a pool.
fn lasting_path(number: usize) -> String {
    format!("{}{:016x}", POOLS[number].0, 0xa0 + number)
}

/// Starts a process that owns all pools, each with a job that lasts.
fn start_owner(platform: &Platform) -> Edge {
    let edge = Edge::start(platform, "e0");
    for (number, (_, pool)) in POOLS.iter().enumerate() {
        wait_until("the pools are owned", || edge.owns(pool));
        edge.submit_until_accepted(&lasting_path(number), &lasting_job());
    }
    let task_count = 2 * POOLS.len();
    wait_until("the tasks run", || platform.runs().len() == task_count);
    edge
}

/// Each idle connection to the store cost the next transaction a whole timeout, so that a cancellation was
/// stored only after several.
#[test]
fn cancellation_is_stored_though_all_open_connections_to_the_store_are_silent() {
    let platform = start_platform(None);
    let edge = start_owner(&platform);
    platform.set_access("e0", Access::Slow(STORE_DELAY));
    // All feeds read their tables anew at once, which leaves many idle connections behind.
    platform.forget_history();
    std::thread::sleep(CONTACT_WINDOW);
    platform.silence_open_connections(Service::Store);
    std::thread::sleep(CONTACT_WINDOW);
    let path = lasting_path(0);
    assert_eq!(edge.call_with_short_timeout("DELETE", &path, ""), 200);
    wait_until("the runs are stopped", || {
        let runs = platform.runs();
        let mut cancelled = runs.iter().filter(|run| run.outcome == "stopped");
        cancelled.clone().count() == 2 && cancelled.all(|run| run.ended_at.is_some())
    });
}

/// Guards against starts and renewals that take one silent connection to a worker after the other.
#[test]
fn jobs_go_on_though_all_open_connections_to_workers_are_silent() {
    let platform = start_platform(None);
    let edge = start_owner(&platform);
    platform.silence_open_connections(Service::Workers);
    let path = "/b/00000000000000bb";
    edge.submit_until_accepted(path, &job(2, 4, 300));
    wait_until("the job is done", || edge.state(path) == "done");
    let overlapping = platform.overlapping_tasks();
    assert!(overlapping.is_empty(), "{:?}", platform.runs());
}

/// Guards against a wave whose orders take one silent connection to the machines' API after the other.
#[test]
fn wave_ends_though_all_open_connections_to_the_machines_api_are_silent() {
    let platform = start_platform(None);
    let edge = start_owner(&platform);
    platform.silence_open_connections(Service::Machines);
    let machines: Vec<String> = (0..2).map(|number| format!("m-alpha-{number}")).collect();
    announce_wave(&platform, &machines, 30, 1);
    wait_for_wave(&platform, "done");
    drop(edge);
}

/// Guards against steps that get no tickets because the connection to the advice service is silent.
#[test]
fn job_starts_though_all_open_connections_to_the_advice_service_are_silent() {
    let platform = start_platform(Some(AdviceShape {
        pools: vec!["alpha".to_owned()],
        decision: Duration::from_millis(10),
        each: Duration::from_millis(1),
        validity: CONTACT_WINDOW,
    }));
    let edge = start_owner(&platform);
    platform.silence_open_connections(Service::Advice);
    let path = "/a/00000000000000bb";
    edge.submit_until_accepted(path, &job(1, 1, 100));
    wait_until("the job is done", || edge.state(path) == "done");
}
