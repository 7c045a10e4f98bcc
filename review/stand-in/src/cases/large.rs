//! A client hands in a job with many steps.

use super::{plain, shapes, CANARY, POOL, QUEUE};
use crate::cluster::{config, job, step, with, Cluster};
use crate::json::{n, s, Json};
use std::thread::sleep;
use std::time::Duration;

const LARGE: &str = "5c0e7a21d94b36f8";

/// A job of `layers` layers of 32 steps each; a step comes after all steps of the layer before it.
fn large(layers: i64) -> Json {
    const WIDTH: i64 = 32;
    let steps: Vec<Json> = (0..layers * WIDTH)
        .map(|number| {
            let layer = number / WIDTH;
            let after = ((layer - 1).max(0) * WIDTH)..(layer * WIDTH);
            let step = with(step(1, 500, 20), "after", Json::Arr(after.map(n).collect()));
            let step = with(step, "affinity", s("r1-1"));
            let step = with(step, "requirements", s("a"));
            with(
                step,
                "image",
                s(format!("fleet-permit-batch/layer-{layer}/renewal")),
            )
        })
        .collect();
    job(&format!("20 {}", "x".repeat(3_900)), &steps)
}

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let cluster = Cluster::start(3, shapes(4), &config(1, &queues, &[(POOL, true)]), plain());
    cluster.wait_ready(QUEUE, CANARY);
    // Jobs that were accepted before: each has a first step at work and a second one to come.
    let ids: Vec<String> = (0..6)
        .map(|number| format!("00000000000001{number:02x}"))
        .collect();
    let two = job(
        "2500",
        &[
            step(2, 1_000, 2_500),
            with(step(2, 1_000, 2_500), "after", Json::Arr(vec![n(0)])),
        ],
    );
    for id in &ids {
        if !cluster.submit(0, QUEUE, id, &two) {
            crate::cluster::cannot_run("a job isn't accepted");
        }
    }
    let large = large(if trouble { 8 } else { 1 });
    cluster.record.note(format!(
        "the large job has {} bytes; max-body-bytes is 262144",
        large.text().len()
    ));
    cluster.submit(1, QUEUE, LARGE, &large);
    // `finish_s` after the last submission.
    sleep(Duration::from_secs(14));
    let mut states = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        states.push(cluster.state(number % 3, QUEUE, id));
    }
    cluster.state(0, QUEUE, LARGE);
    let late = "00000000000002aa";
    let is_accepted = cluster.submit(2, QUEUE, late, &job("100", &[step(1, 500, 100)]));
    cluster.keep_log(&[
        "event=transaction-invalid",
        "event=owner-deposed",
        "event=taken-over",
        "event=owner-started",
    ]);
    let idle = cluster.workers.iter().all(|worker| worker.is_idle());
    let last = cluster
        .record
        .runs()
        .iter()
        .filter_map(|run| run.ended)
        .map(|(at, _)| at)
        .max()
        .unwrap_or_default();
    let quiet = cluster.record.now().saturating_sub(last);
    let unfinished = states.iter().filter(|state| *state != "done").count();
    let broken = unfinished > 0 && idle && quiet >= Duration::from_secs(3);
    let text = format!(
        "LOST: {unfinished} of {} accepted jobs aren't done ({states:?}), all workers are idle and nothing has run for {:.1} s; a further job was accepted: {is_accepted}",
        ids.len(),
        quiet.as_secs_f64()
    );
    cluster.finish(record, broken.then_some(text));
}
