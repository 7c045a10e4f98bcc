//! Series of planned stops of a pool's owners while workers end.

mod support;

use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use support::{configure, job, wait_until, Edge};

const POOL: &str = "alpha";
const PATH: &str = "/a/00000000000000a1";
const TASKS: usize = 3;

/// The time between two planned stops: longer than a lease with the checks that follow its end,
/// shorter than an owner's authority and a lease together.
const STOP_INTERVAL: Duration = Duration::from_millis(5_500);

/// Returns a job of lasting tasks, one for each of the pool's workers.
fn lasting_job() -> Value {
    let mut lasting = job(1, TASKS as u32, 900);
    lasting["specification"] = json!("lasts");
    lasting["steps"][0]["long-running"] = json!(true);
    lasting["steps"][0]["anti-affinity"] = json!(2);
    lasting
}

/// Returns a machine whose worker runs a task.
fn busy_machine(platform: &Platform) -> String {
    let worker = &platform.runs()[0].worker;
    let is_on = |machine: &String| worker.starts_with(&format!("i-{machine}-"));
    let mut machines = platform.pools().into_keys();
    machines.find(is_on).expect("a machine")
}

/// Stops the owner of the pool as planned and waits until another process owns it.
fn stop_owner(edges: &mut [Edge]) {
    let is_owner = |edge: &Edge| edge.owns(POOL);
    let owner = edges.iter().position(is_owner).expect("an owner");
    edges[owner].terminate();
    wait_until("another process owns the pool", || {
        let mut others = edges.iter().enumerate().filter(|(n, _)| *n != owner);
        others.any(|(_, edge)| edge.owns(POOL))
    });
}

/// Each owner waited anew for the leases of a worker that had ended, and was stopped before the end
/// of its wait.
#[test]
fn lasting_task_of_an_ended_worker_runs_again_during_a_series_of_planned_stops() {
    let platform = Platform::start(&Shape {
        pools: vec![(POOL.to_owned(), TASKS)],
        spare: None,
    });
    configure(&platform, 1, &[("/a/", POOL)]);
    let mut edges: Vec<Edge> = (0..4)
        .map(|number| Edge::start(&platform, &format!("e{number}")))
        .collect();
    edges[0].submit_until_accepted(PATH, &lasting_job());
    wait_until("all tasks run", || platform.started_tasks().len() == TASKS);
    wait_until("the pool has an owner", || {
        edges.iter().any(|edge| edge.owns(POOL))
    });
    let machine = busy_machine(&platform);
    platform.cut_off_worker(&machine);
    platform.remove_entry(&machine);
    for _ in 0..2 {
        let stopped_at = Instant::now();
        stop_owner(&mut edges);
        std::thread::sleep(STOP_INTERVAL.saturating_sub(stopped_at.elapsed()));
    }
    assert!(
        platform.started_tasks().len() > TASKS,
        "the task of the ended worker was not started again"
    );
    assert!(platform.overlapping_tasks().is_empty());
}
