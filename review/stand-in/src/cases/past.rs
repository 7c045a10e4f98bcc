//! A client hands in an hourly job whose first time was thirty days ago.

use super::{owner, plain, shapes, CANARY, POOL, QUEUE};
use crate::cluster::{cannot_run, config, job, step, with, Cluster};
use crate::json::{n, Json};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOURLY: &str = "5c0e7a21d94b36f8";
const HOUR_MS: i64 = 3_600_000;

/// A job of four steps, one after the other, whose first time was `hours` ago.
fn hourly(hours: i64) -> Json {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as i64;
    let steps: Vec<Json> = (0..4)
        .map(|number| {
            let after = ((number - 1).max(0)..number).map(n).collect();
            with(step(1, 500, 20), "after", Json::Arr(after))
        })
        .collect();
    let job = with(job("20", &steps), "repetitions", n(1_000));
    let job = with(job, "interval-ms", n(HOUR_MS));
    with(job, "start-at-ms", n(now - hours * HOUR_MS))
}

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let first_config = config(1, &queues, &[(POOL, true)]);
    let mut cluster = Cluster::start(3, shapes(8), &first_config, plain());
    cluster.wait_ready(QUEUE, CANARY);
    // Jobs that were accepted before: each has a first step at work and a second one to come.
    let ids: Vec<String> = (0..6)
        .map(|number| format!("00000000000001{number:02x}"))
        .collect();
    let second = with(step(2, 1_000, 2_500), "after", Json::Arr(vec![n(0)]));
    let two = job("2500", &[step(2, 1_000, 2_500), second]);
    for id in &ids {
        if !cluster.submit(0, QUEUE, id, &two) {
            cannot_run("a job isn't accepted");
        }
    }
    let hourly = hourly(if trouble { 720 } else { 12 });
    let note = format!("the hourly job has {} bytes", hourly.text().len());
    cluster.record.note(note);
    let is_hourly_accepted = cluster.submit(1, QUEUE, HOURLY, &hourly);
    // TROUBLE=restart also kills the owner's process, which is started again.
    if std::env::var("TROUBLE").as_deref() == Ok("restart") {
        sleep(Duration::from_secs(3));
        let first = owner(&cluster);
        cluster.kill(first);
        sleep(Duration::from_millis(500));
        cluster.boot(first);
    }
    // `finish_s` after the last submission.
    sleep(Duration::from_secs(14));
    let states: Vec<String> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| cluster.state(number % 3, QUEUE, id))
        .collect();
    cluster.state(0, QUEUE, HOURLY);
    let late = job("100", &[step(1, 500, 100)]);
    let is_late_accepted = cluster.submit(2, QUEUE, "00000000000002aa", &late);
    cluster.keep_log(&[
        "event=transaction-invalid",
        "event=owner-deposed",
        "event=taken-over",
        "event=owner-started",
    ]);
    let is_idle = cluster.workers.iter().all(|worker| worker.is_idle());
    let ends = cluster
        .record
        .runs()
        .into_iter()
        .filter_map(|run| run.ended);
    let last = ends.map(|(at, _)| at).max().unwrap_or_default();
    let quiet = cluster.record.now().saturating_sub(last);
    let unfinished = states.iter().filter(|state| *state != "done").count();
    let broken = unfinished > 0 && is_idle && quiet >= Duration::from_secs(3);
    let text = format!(
        "LOST: {unfinished} of {} accepted jobs aren't done ({states:?}), all workers are idle and \
         nothing has run for {:.1} s; the hourly job was accepted: {is_hourly_accepted}, a further \
         job: {is_late_accepted}",
        ids.len(),
        quiet.as_secs_f64()
    );
    cluster.finish(record, broken.then_some(text));
}
