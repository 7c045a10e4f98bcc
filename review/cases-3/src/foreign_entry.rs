//! Another writer's entry, of a service that no config names, stands under a worker's id for a moment.

use crate::edge::{wait_until, Edge, Place};
use crate::server::{serve, Answer};
use crate::sharing::{Span, Worker};
use crate::wire::call;
use crate::{Setting, Verdict};
use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const JOB: &str = "00000000000000c1";
const COUNT: usize = 4;
const MAY_MISS: usize = 1;
const BORN: i64 = 1_790_000_000_000;
/// `heartbeat-interval-ms` of the settings.
const BEAT: Duration = Duration::from_millis(1_500);
/// How long after a beat of the worker the other writer writes.
const AFTER_BEAT: Duration = Duration::from_millis(200);
/// `notice-ms` of the settings.
const NOTICE: Duration = Duration::from_millis(4_500);
const WATCH_TIME: Duration = Duration::from_secs(12);
const LIMIT: Duration = Duration::from_secs(20);

fn configuration() -> Value {
    json!({
        "version": 1, "limits": { "max-body-bytes": 65_536 },
        "routes": [{
            "name": "ra", "hostname": "127.0.0.1", "path-prefix": "/a/", "kind": "unsafe",
            "timeout-ms": 3000, "priority": 0, "target-latency-ms": 600, "service": "alpha",
            "max-attempts": 3, "stretch": 1.6,
        }],
        "services": [{ "name": "alpha", "rejects-overload": true }],
    })
}

/// A worker's entry, or one of the same form by another writer.
fn entry(service: &str, address: SocketAddr, machine: &str, born: i64, sequence: u64) -> Vec<u8> {
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "lahore-a",
        "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
        "sequence": sequence, "born": born, "labels": ["kind-a", "r-0"], "machine": machine,
        "capacity": { "cpu": 16_000, "mem-mb": 65_536, "gpu": 0 },
    });
    entry.to_string().into_bytes()
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(&Shape {
        pools: Vec::new(),
        spare: None,
    });
    platform.write_operator_row("config", &configuration());
    let mut workers = Vec::new();
    for number in 0..2 {
        let id = format!("i-w{number}");
        let Some((worker, address)) = Worker::start(&id, BORN + number, "-", None, record) else {
            return Verdict::NotRun("no loopback port is free".to_owned());
        };
        workers.push((worker, address, format!("m-w{number}"), BORN + number));
    }
    // Set to let the other writer write after the next beat of the first worker.
    let is_armed = Arc::new(AtomicBool::new(false));
    let was_written = Arc::new(AtomicBool::new(false));
    for (number, (worker, address, machine, born)) in workers.iter().cloned().enumerate() {
        let (platform, record) = (platform.clone(), record.clone());
        let (is_armed, was_written) = (is_armed.clone(), was_written.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                let beat = entry("alpha", address, &machine, born, sequence);
                platform.write_own_row("servers", "", &worker.id, &beat);
                if number == 0 && is_armed.swap(false, Ordering::SeqCst) {
                    record.note(&format!("{} writes its entry", worker.id));
                    thread::sleep(AFTER_BEAT);
                    let other = SocketAddr::from(([127, 0, 0, 1], 9));
                    let foreign = entry("printer-queue", other, "m-other", born + 60_000, 1);
                    let text = String::from_utf8_lossy(&foreign).into_owned();
                    record.note(&format!(
                        "ANOTHER WRITER writes servers/{}: {text}",
                        worker.id
                    ));
                    platform.write_own_row("servers", "", &worker.id, &foreign);
                    was_written.store(true, Ordering::SeqCst);
                    thread::sleep(BEAT.saturating_sub(AFTER_BEAT));
                    record.note(&format!("{} writes its entry", worker.id));
                } else {
                    thread::sleep(BEAT);
                }
            }
        });
    }
    let listed: Vec<Value> = workers
        .iter()
        .map(|(worker, _, machine, _)| {
            json!({
                "machine": machine, "pool": "alpha", "state": "up", "zone": "lahore-a",
                "labels": ["kind-a", "r-0"], "id": worker.id,
                "capacity": { "cpu": 16_000, "mem-mb": 65_536, "gpu": 0 },
            })
        })
        .collect();
    let listed = json!({ "machines": listed, "next-page-token": null });
    let machines = serve(move |path, _| {
        if path.starts_with("/machines") {
            Answer::Body(200, listed.to_string())
        } else {
            Answer::Body(409, json!({ "reason": "busy" }).to_string())
        }
    });
    let Some(machines) = machines else {
        return Verdict::NotRun("no loopback port is free".to_owned());
    };
    let mut edges = Vec::new();
    for (name, zone) in [("e0", "lahore-a"), ("e1", "lahore-b"), ("e2", "gujranwala")] {
        let place = Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store: platform.store,
            machines,
            advice: None,
            cpu_share: 0.25,
        };
        let Some(edge) = Edge::start(&setting.root, &setting.temporary, &place, record) else {
            return Verdict::NotRun(format!("{name} doesn't start"));
        };
        edges.push(edge);
    }
    if !wait_until(LIMIT, || edges.iter().any(|edge| edge.owns("alpha"))) {
        return Verdict::NotRun("nobody owns the pool".to_owned());
    }
    // Both workers are registered and have reported.
    thread::sleep(BEAT);
    let job = json!({ "specification": "serve", "steps": [{
        "count": COUNT, "cpu": 2_000, "mem-mb": 256, "estimated-ms": 900, "long-running": true,
        "anti-affinity": 2, "may-miss": MAY_MISS,
    }] });
    let is_accepted = wait_until(LIMIT, || {
        let path = format!("/a/{JOB}");
        let headers = [("X-Hyssopworks-Deadline-Ms", "3000")];
        let limit = Duration::from_secs(3);
        let text = job.to_string();
        let answer = call(edges[0].front, "POST", &path, &headers, &text, limit);
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!("client: POST {path} {text}: {status}"));
        status == 200
    });
    let spans = || -> Vec<Span> {
        workers
            .iter()
            .flat_map(|(worker, ..)| worker.spans())
            .collect()
    };
    let at_work = |at: Duration| spans().iter().filter(|span| span.is_at_work(at)).count();
    if !is_accepted || !wait_until(LIMIT, || at_work(record.now()) == COUNT) {
        return Verdict::NotRun("the job isn't at work".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let watched_from = record.now();
    record.note("all subtasks have been at work for 5 s");
    is_armed.store(setting.has_trouble, Ordering::SeqCst);
    thread::sleep(WATCH_TIME);
    if setting.has_trouble && !was_written.load(Ordering::SeqCst) {
        return Verdict::NotRun("the other writer didn't write".to_owned());
    }
    judge(&spans(), watched_from, record)
}

/// AVAIL: a stop ends a subtask at work on a sound worker while `may-miss` others of its step are away:
/// ended by such an order, or not at work for `notice-ms`. Leases that lapse count as such orders.
fn judge(spans: &[Span], from: Duration, record: &crate::record::Record) -> Verdict {
    let mut ends: Vec<(Duration, &Span, &'static str)> = spans
        .iter()
        .filter_map(|span| span.end.map(|(at, how)| (at, span, how)))
        .filter(|(at, ..)| *at >= from)
        .collect();
    ends.sort_by_key(|(at, ..)| *at);
    let mut broken = None;
    for (at, span, how) in &ends {
        // At the moment before its end.
        let was_at_work = span.is_at_work(*at - Duration::from_millis(1));
        let away: Vec<String> = (0..COUNT)
            .map(|index| format!("{JOB}.0.0.{index}"))
            .filter(|task| *task != span.task)
            .filter(|task| {
                let of_task = || spans.iter().filter(|other| other.task == *task);
                if of_task().any(|other| other.is_at_work(*at)) {
                    return false;
                }
                // Not at work: by an order, or for long.
                let mut ended = of_task().filter_map(|other| other.end);
                ended.any(|(other_at, _)| other_at >= from && other_at <= *at)
                    || !of_task().any(|other| other.is_at_work(at.saturating_sub(NOTICE)))
            })
            .collect();
        record.note(&format!(
            "judge: {:.3} s: {} ends {how}, at work before: {was_at_work}, others away: {away:?}",
            at.as_secs_f64(),
            span.task
        ));
        if was_at_work && away.len() >= MAY_MISS && broken.is_none() {
            broken = Some(format!(
                "{} at work is ended ({how}) while {} of its step are away, may-miss is {MAY_MISS}",
                span.task,
                away.len()
            ));
        }
    }
    broken.map_or(Verdict::Held, Verdict::Broken)
}
