//! A subtask that needs a label fails once on the only worker that has it.

use super::{course, shapes, wait_for, CANARY, POOL, QUEUE};
use crate::cluster::{config, job, step, with, Cluster};
use crate::json::s;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const JOB: &str = "5c0e7a21d94b36f8";
const OTHER: &str = "5c0e7a21d94b36f9";

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let mut shapes = shapes(8);
    shapes[7].labels[0] = "b".to_owned();
    let special = shapes[7].id.clone();
    let failing = Arc::new(std::sync::Mutex::new(trouble));
    let script = Arc::new(move |task: &str, _: i64, specification: &str| {
        let mut course = course(specification);
        let fails = task.starts_with(JOB) && std::mem::take(&mut *failing.lock().unwrap());
        if fails {
            course.how = "failed";
        }
        course
    });
    let cluster = Cluster::start(3, shapes, &config(1, &queues, &[(POOL, true)]), script);
    cluster.wait_ready(QUEUE, CANARY);
    let needing = with(step(1, 4_000, 400), "requirements", s("b"));
    let accepted = cluster.submit(0, QUEUE, JOB, &job("400", &[needing]));
    // The worker with the label runs other work meanwhile.
    let other = with(step(2, 2_000, 300), "requirements", s("b"));
    if !accepted || !cluster.submit(1, QUEUE, OTHER, &job("300", &[other])) {
        crate::cluster::cannot_run("a job isn't accepted");
    }
    // `finish_s` after the last submission.
    wait_for(Duration::from_secs(14), || {
        cluster
            .record
            .runs_of(JOB)
            .iter()
            .any(|r| matches!(r.ended, Some((_, "done"))))
    });
    sleep(Duration::from_secs(1));
    let state = cluster.state(2, QUEUE, JOB);
    cluster.state(2, QUEUE, OTHER);
    cluster.keep_log(&["event=job-ended", "event=run-ended", "event=worker-suspect"]);
    let runs = cluster.record.runs_of(JOB);
    let last_end = runs
        .iter()
        .filter_map(|run| run.ended)
        .map(|(at, _)| at)
        .max()
        .unwrap_or_default();
    let idle = cluster.record.now().saturating_sub(last_end);
    let worker = cluster.workers.iter().find(|worker| worker.id == special);
    let is_idle = worker.is_some_and(|worker| worker.is_idle());
    let broken = state != "done" && state != "failed" && is_idle && idle >= Duration::from_secs(3);
    let text = format!(
        "LOST: job {JOB} is {state}; it had {} run(s), and nothing has run for {:.1} s, while worker {special}, which has the label, is idle",
        runs.len(),
        idle.as_secs_f64()
    );
    cluster.finish(record, broken.then_some(text));
}
