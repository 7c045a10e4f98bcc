//! What a pool's owner learned about durations is handed to the next one at a planned stop.

mod support;

use platform_standin::{Platform, Shape};
use serde_json::json;
use support::{configure, job, wait_until, Edge};

const POOL: &str = "alpha";
const PATH: &str = "/a/00000000000000a1";
const TASKS: usize = 4;

/// Learned durations were lost with the owner.
#[test]
fn next_owner_after_a_planned_stop_knows_the_learned_durations() {
    let platform = Platform::start(&Shape {
        pools: vec![(POOL.to_owned(), 2)],
        spare: None,
    });
    configure(&platform, 1, &[("/a/", POOL)]);
    let mut edges: Vec<Edge> = (0..2)
        .map(|number| Edge::start(&platform, &format!("e{number}")))
        .collect();
    let mut body = job(1, TASKS as u32, 200);
    body["steps"][0]["image"] = json!("registry/reprint");
    edges[0].submit_until_accepted(PATH, &body);
    wait_until("the job is done", || edges[0].state(PATH) == "done");
    let owner = edges.iter().position(|edge| edge.owns(POOL));
    let owner = owner.expect("an owner");
    // A run whose start was not answered in time isn't measured.
    let runs = edges[owner].metric("hyssop_forecast_runs{");
    assert!(runs.is_some_and(|runs| runs > 0.0), "{runs:?}");
    edges[owner].terminate();
    let next = &edges[1 - owner];
    wait_until("the next owner has recovered", || next.owns(POOL));
    wait_until("it knows the image", || {
        next.has_logged("event=learning-recovered pool=alpha queues=1 images=1")
    });
}
