//! A route is removed and comes back; between the two, the owner of its pool is stopped as planned.

use super::{course, owner, shapes, wait_for, CANARY, POOL, QUEUE};
use crate::cluster::{config, job, step, Cluster};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const JOB: &str = "5c0e7a21d94b36f8";
const PATH: &str = "/kora17/";
const ATTEMPTS: u32 = 4;

pub fn run(trouble: bool, record: &str) {
    let both = [("fees", QUEUE, POOL, 4), ("sweep", PATH, POOL, ATTEMPTS)];
    let services = [(POOL, true)];
    let failed = Arc::new(std::sync::Mutex::new(false));
    let script = Arc::new(move |task: &str, _: i64, specification: &str| {
        let mut course = course(specification);
        // The first run of the subtask fails; its further runs don't.
        if task.starts_with(JOB) && !std::mem::replace(&mut *failed.lock().unwrap(), true) {
            course.how = "failed";
        }
        course
    });
    let mut cluster = Cluster::start(3, shapes(4), &config(1, &both, &services), script);
    cluster.wait_ready(QUEUE, CANARY);
    if !cluster.submit(0, PATH, JOB, &job("5000", &[step(1, 4_000, 5_000)])) {
        crate::cluster::cannot_run("the job isn't accepted");
    }
    wait_for(Duration::from_secs(2), || {
        !cluster.record.runs_of(JOB).is_empty()
    });
    cluster.record.note("operator: version 2 removes the route");
    cluster
        .store
        .put("op", "config", Some(&config(2, &both[..1], &services)));
    sleep(Duration::from_millis(1_000));
    if trouble {
        let first = owner(&cluster);
        cluster.terminate(first);
        // The platform starts the process again after it has ended.
        let mut waited = 0;
        while !cluster.has_ended(first) && waited < 60 {
            sleep(Duration::from_millis(100));
            waited += 1;
        }
        cluster.kill(first);
        cluster.boot(first);
    }
    wait_for(Duration::from_secs(9), || {
        cluster
            .record
            .runs_of(JOB)
            .iter()
            .any(|run| run.ended.is_some())
    });
    sleep(Duration::from_millis(1_500));
    cluster
        .record
        .note("operator: version 3 adds the route again");
    cluster
        .store
        .put("op", "config", Some(&config(3, &both, &services)));
    sleep(Duration::from_millis(2_500));
    let mut state = String::new();
    for _ in 0..12 {
        state = cluster.state(1, PATH, JOB);
        if state == "done" || state == "failed" {
            break;
        }
        sleep(Duration::from_millis(1_000));
    }
    cluster.keep_log(&[
        "event=taken-over",
        "event=owner-started",
        "event=job-ended",
        "event=run-ended",
        "event=configuration",
        "event=released",
    ]);
    let runs = cluster.record.runs_of(JOB);
    let failures = runs
        .iter()
        .filter(|run| matches!(run.ended, Some((_, "failed"))))
        .count();
    let broken = state == "failed" && failures < ATTEMPTS as usize;
    let text = format!(
        "LOST: job {JOB}, which nobody cancelled, is shown as failed after {failures} run(s) that ended failed; max-attempts is {ATTEMPTS}"
    );
    cluster.finish(record, broken.then_some(text));
}
