//! The owner of a pool loses the store while a scheduled job comes due, and one worker is cut off.

use super::{owner, plain, shapes, wait_for, CANARY, POOL, QUEUE};
use crate::cluster::{config, job, step, with, Cluster};
use crate::json::n;
use crate::store::Gate;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const JOB: &str = "5c0e7a21d94b36f8";
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let cluster = Cluster::start(4, shapes(6), &config(1, &queues, &[(POOL, true)]), plain());
    cluster.wait_ready(QUEUE, CANARY);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64;
    // Four subtasks a time, at most one on a worker.
    let each = with(step(4, 4_000, 2_500), "anti-affinity", n(1));
    let mut scheduled = job("2500", &[each]);
    scheduled = with(scheduled, "repetitions", n(16));
    scheduled = with(scheduled, "start-at-ms", n(now + 1_000));
    scheduled = with(scheduled, "interval-ms", n(1_000));
    if !cluster.submit(0, QUEUE, JOB, &scheduled) {
        crate::cluster::cannot_run("the job isn't accepted");
    }
    sleep(Duration::from_millis(3_500));
    // TROUBLE=store and TROUBLE=worker bring one of the two cuts alone.
    let only = std::env::var("TROUBLE").unwrap_or_default();
    if trouble {
        let first = owner(&cluster);
        let name = cluster.edges[first].name.clone();
        cluster.record.note(format!(
            "{name}, which owns the pool, is partitioned from the store"
        ));
        if only != "worker" {
            cluster.store.set_gate(&name, Gate::Silent);
        }
        let began = cluster.record.now();
        // A worker that has just begun a time that came due since then is cut off.
        let begun = || {
            let runs = cluster.record.runs_of(JOB);
            runs.into_iter()
                .find(|run| run.started > began + Duration::from_millis(300) && run.ended.is_none())
        };
        let found = wait_for(Duration::from_secs(2), || begun().is_some())
            .then(begun)
            .flatten();
        let Some(run) = found else {
            crate::cluster::cannot_run("nothing came due");
        };
        let worker = cluster
            .workers
            .iter()
            .find(|worker| worker.id == run.worker);
        let Some(worker) = worker else {
            crate::cluster::cannot_run("the worker is unknown");
        };
        if only != "store" {
            worker.set_cut(true);
        }
        // Each cut lasts as long as the site file has it.
        let cut_at = cluster.record.now();
        sleep((began + CUT).saturating_sub(cut_at));
        cluster.store.set_gate(&name, Gate::Open);
        cluster
            .record
            .note(format!("{name} reaches the store again"));
        sleep((cut_at + CUT).saturating_sub(cluster.record.now()));
        worker.set_cut(false);
    }
    sleep(Duration::from_secs(6));
    cluster.state(0, QUEUE, JOB);
    cluster.keep_log(&[
        "event=taken-over",
        "event=owner-started",
        "event=recover",
        "event=workers-unreported",
        "event=owner-deposed",
        "event=leases-over",
        "event=dependency",
    ]);
    let overlaps = cluster.record.overlaps(Duration::from_millis(200));
    let repeats = cluster.record.repeats();
    for (a, b) in overlaps.iter().chain(&repeats) {
        cluster.record.note(format!("twice: {a:?} and {b:?}"));
    }
    let broken = (!overlaps.is_empty() || !repeats.is_empty()).then(|| {
        format!(
            "TWICE: {} pair(s) of runs of one subtask at work at the same time on workers that are up; {} start(s) after an end `done` that was taken note of",
            overlaps.len(),
            repeats.len()
        )
    });
    cluster.finish(record, broken);
}
