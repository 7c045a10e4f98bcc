//! A job is cancelled, and the owner of its pool is stopped as planned while the runs are stopped.

use super::{owner, plain, shapes, wait_for, CANARY, POOL, QUEUE};
use crate::cluster::{config, job, step, Cluster};
use std::thread::sleep;
use std::time::Duration;

const FIRST: &str = "5c0e7a21d94b36f8";
const NEXT: &str = "5c0e7a21d94b36f9";

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let services = [(POOL, false)];
    let mut shapes = shapes(4);
    for shape in &mut shapes {
        shape.guards = false;
        shape.stop_time = Duration::from_millis(850);
    }
    let mut cluster = Cluster::start(3, shapes, &config(1, &queues, &services), plain());
    cluster.wait_ready(QUEUE, CANARY);
    // Each fills all workers.
    let fills = job("6000", &[step(16, 16_000, 6_000)]);
    if !cluster.submit(0, QUEUE, FIRST, &fills)
        || !wait_for(Duration::from_secs(3), || {
            cluster.record.runs_of(FIRST).len() == 16
        })
    {
        crate::cluster::cannot_run("the first job doesn't run");
    }
    cluster.submit(1, QUEUE, NEXT, &fills);
    sleep(Duration::from_millis(1_000));
    cluster.call(0, "DELETE", &format!("{QUEUE}{FIRST}"), "");
    if trouble {
        let first = owner(&cluster);
        cluster.terminate(first);
    }
    sleep(Duration::from_secs(8));
    cluster.keep_log(&["event=taken-over", "event=owner-started", "event=released"]);
    // What was being stopped counts until its end.
    let mut over = Vec::new();
    let runs = cluster.record.runs();
    for worker in &cluster.workers {
        for start in runs.iter().filter(|run| run.worker == worker.id) {
            let at = start.started;
            let used: i64 = runs
                .iter()
                .filter(|run| run.worker == worker.id && run.started <= at && run.task.len() > 10)
                .filter(|run| run.ended.is_none_or(|(end, _)| end > at))
                .map(|run| {
                    if run.task.starts_with(CANARY) {
                        500
                    } else {
                        16_000
                    }
                })
                .sum();
            if used > 64_000 {
                over.push(format!(
                    "{} with {} at {:.3} s: {used} of 64000",
                    worker.id,
                    start.task,
                    at.as_secs_f64()
                ));
            }
        }
    }
    let broken = (!over.is_empty()).then(|| {
        format!(
            "LIMIT: {} start(s) over the capacity, first {}",
            over.len(),
            over[0]
        )
    });
    if cluster.has_ended(0) {
        cluster.record.note("a process has ended");
    }
    cluster.finish(record, broken);
}
