//! The quota of an account over two pools with owners of their own, one of which is killed.

mod support;

use hyssop_model::work::{Resources, Step, Submission};
use hyssop_platform::rows::encode;
use platform_standin::Platform;
use serde::Serialize;
use serde_json::json;
use support::{configure_accounts, platform, wait_until, Edge};

const ROUTES: [(&str, &str); 2] = [("/a/", "alpha"), ("/b/", "beta")];
const POOLS: [(&str, &str); 2] = [("alpha", "ra"), ("beta", "rb")];
const TASKS: u32 = 10;
/// The number of tasks that the quota admits at a time.
const ADMITTED: usize = 4;
const CPU: u64 = 500;

/// The stored row of a job's submission.
#[derive(Serialize)]
struct JobRow {
    queue: String,
    asked_wall_ms: i64,
    submission: Submission,
}

/// Stores an accepted job of the account, whose tasks its pool's next owner starts.
fn store_job(platform: &Platform, pool: &str, queue: &str, id: &str) {
    let step = Step {
        count: TASKS,
        need: Resources {
            cpu: CPU,
            memory: 16,
            accelerators: 0,
        },
        estimate_ms: 600,
        ..Step::default()
    };
    let row = JobRow {
        queue: queue.to_owned(),
        asked_wall_ms: 0,
        submission: Submission {
            specification: "600".to_owned(),
            steps: vec![step],
            account: Some("acme".to_owned()),
            ..Submission::default()
        },
    };
    platform.write_own_row("job", pool, id, &encode(&row));
}

/// Returns the largest number of tasks that ran at the start of any.
fn most_at_once(platform: &Platform) -> usize {
    let runs = platform.runs();
    let counts = runs.iter().map(|start| {
        let at = start.started_at;
        let is_open = |run: &&platform_standin::Run| {
            run.started_at <= at && run.ended_at.is_none_or(|end| end > at)
        };
        runs.iter().filter(is_open).count()
    });
    counts.max().unwrap_or(0)
}

fn count_done(platform: &Platform) -> usize {
    let runs = platform.runs();
    runs.iter().filter(|run| run.outcome == "done").count()
}

#[test]
fn owners_of_two_pools_keep_the_quota_and_a_killed_one_leaves_its_grant() {
    let platform = platform();
    let accounts = json!([
        { "name": "acme", "api-keys": ["secret"], "weight": 1.0, "cap": { "cpu": 2_000 } },
    ]);
    configure_accounts(&platform, 2, &ROUTES, Some(accounts));
    for (pool, queue) in POOLS {
        store_job(&platform, pool, queue, &format!("00000000000000{queue}"));
    }
    let mut edges: Vec<Edge> = ["e0", "e1", "e2"]
        .iter()
        .map(|name| Edge::start_under(&platform, name, "", &["quota"]))
        .collect();
    wait_until("tasks of both pools have run", || {
        let runs = platform.runs();
        ["ra", "rb"].iter().all(|queue| {
            let is_of = |run: &platform_standin::Run| run.task.contains(queue);
            runs.iter().any(is_of)
        })
    });
    let owner = edges.iter().position(|edge| edge.owns("alpha"));
    edges[owner.expect("an owner")].kill();
    wait_until("all tasks are done", || {
        count_done(&platform) >= 2 * TASKS as usize
    });
    let most = most_at_once(&platform);
    assert!(most <= ADMITTED, "{most} tasks at once");
    assert!(most > ADMITTED / 2, "{most} tasks at once");
    let logged = edges.iter().any(|edge| edge.has_logged("event=grant "));
    assert!(logged, "changes of grants are logged");
    let measured = edges
        .iter()
        .filter_map(|edge| edge.metric("hyssop_grant_writes_total"));
    assert!(measured.sum::<f64>() > 0.0, "writes of grants are counted");
}
