//! The owner of a pool is killed, and the store fails while its successor takes over.

use super::{owner, plain, shapes, CANARY, POOL, QUEUE};
use crate::cluster::{config, job, step, with, Cluster};
use crate::json::{n, Json};
use crate::store::Gate;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

pub fn run(trouble: bool, record: &str) {
    let queues = [("fees", QUEUE, POOL, 4)];
    let mut cluster = Cluster::start(3, shapes(4), &config(1, &queues, &[(POOL, true)]), plain());
    cluster.wait_ready(QUEUE, CANARY);
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
        cluster.submit(0, QUEUE, id, &two);
    }
    let first = owner(&cluster);
    if trouble {
        let begun = AtomicBool::new(false);
        let store = Arc::downgrade(&cluster.store);
        let record = cluster.record.clone();
        *cluster.store.on_performed.lock().unwrap() =
            Some(Box::new(move |gates, machine, written| {
                let takes_over = written.iter().any(|key| key.0 == "owner" && key.1 == POOL);
                if takes_over && !begun.swap(true, Ordering::SeqCst) {
                    record.note(format!(
                        "the store is down: {machine} has taken the pool over and gets no answer"
                    ));
                    gates.set_all_gates(Gate::Reset);
                    let (store, record) = (store.clone(), record.clone());
                    spawn(move || {
                        sleep(Duration::from_millis(4_500));
                        if let Some(store) = store.upgrade() {
                            store.set_all_gates(Gate::Open);
                        }
                        record.note("the store is back");
                    });
                }
            }));
    }
    cluster.kill(first);
    sleep(Duration::from_millis(500));
    cluster.boot(first);
    sleep(Duration::from_secs(24));
    let states: Vec<String> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| cluster.state(number % 3, QUEUE, id))
        .collect();
    cluster.keep_log(&[
        "event=taken-over",
        "event=owner ",
        "event=owner-started",
        "event=dependency",
    ]);
    let idle = cluster.workers.iter().all(|worker| worker.is_idle());
    let unfinished = states.iter().filter(|state| *state != "done").count();
    let broken = (unfinished > 0 && idle)
        .then(|| format!("LOST: {unfinished} accepted jobs aren't done: {states:?}"));
    cluster.finish(record, broken);
}
