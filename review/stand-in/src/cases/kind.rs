//! A worker crashes and starts again under its id as another kind.

use super::{plain, shapes, wait_for, CANARY, POOL, QUEUE};
use crate::cluster::{cannot_run, config, job, step, with, Cluster};
use crate::json::{n, s};
use std::thread::sleep;
use std::time::Duration;

/// Crashes in the script, one worker after the other.
const CRASHES: usize = 6;
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let mut shapes = shapes(10);
    // Eight workers are of kind b.
    for shape in &mut shapes[2..] {
        shape.labels[0] = "b".to_owned();
    }
    let cluster = Cluster::start(3, shapes, &config(1, &queues, &[(POOL, true)]), plain());
    cluster.wait_ready(QUEUE, CANARY);
    // Two subtasks that need kind b, on two workers.
    let needing = with(
        with(step(2, 4_000, 2_500), "requirements", s("b")),
        "anti-affinity",
        n(1),
    );
    let needing = job("2500", &[needing]);
    let ids: Vec<String> = (0..CRASHES)
        .map(|number| format!("5c0e7a21d94b36f{number}"))
        .collect();
    for id in &ids {
        if !cluster.submit(0, QUEUE, id, &needing) {
            cannot_run("the job isn't accepted");
        }
        if !wait_for(Duration::from_secs(3), || {
            cluster.record.runs_of(id).len() == 2
        }) {
            cannot_run("the job doesn't run");
        }
        sleep(Duration::from_millis(150));
        if trouble {
            let run = &cluster.record.runs_of(id)[0];
            let worker = cluster
                .workers
                .iter()
                .find(|worker| worker.id == run.worker);
            let Some(worker) = worker else {
                cannot_run("the worker is unknown");
            };
            worker.crash();
            sleep(DOWN);
            let rack = run.labels[1].clone();
            worker.reboot(vec!["a".to_owned(), rack]);
        }
        let is_done = || {
            let runs = cluster.record.runs_of(id);
            runs.iter()
                .filter(|run| matches!(run.ended, Some((_, "done"))))
                .count()
                == 2
        };
        wait_for(Duration::from_secs(14), is_done);
        sleep(Duration::from_millis(1_000));
        cluster.state(1, QUEUE, id);
    }
    cluster.keep_log(&["event=worker-gone", "event=job-ended"]);
    let runs: Vec<_> = ids
        .iter()
        .flat_map(|id| cluster.record.runs_of(id))
        .collect();
    let wrong: Vec<_> = runs
        .iter()
        .filter(|run| !run.labels.contains(&"b".to_owned()))
        .collect();
    let text = wrong.first().map(|run| {
        format!(
            "ROUTE: {} start(s) on a worker without the label b, which the step requires; the first of {} on worker {} with the labels {:?}",
            wrong.len(),
            run.task,
            run.worker,
            run.labels
        )
    });
    cluster.finish(record, text);
}
