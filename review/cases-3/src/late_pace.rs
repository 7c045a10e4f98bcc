//! A worker carries out an order on pace late, after newer ones.

use crate::edge::{wait_until, Edge, Place};
use crate::server::{serve, Answer};
use crate::sharing::Worker;
use crate::wire::call;
use crate::{Setting, Verdict};
use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::thread;
use std::time::Duration;

const SERVING: &str = "00000000000000a1";
const FILLING: &str = "00000000000000f1";
const TARGET_MS: f64 = 100.0;
/// Within the 2 to 12 s after which such orders are carried out.
const LATE_BY: Duration = Duration::from_secs(8);
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
const HARM: Duration = Duration::from_millis(4_000);
const WATCH_TIME: Duration = Duration::from_secs(28);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
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

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(&Shape {
        pools: Vec::new(),
        spare: None,
    });
    platform.write_operator_row("config", &configuration());
    let late_by = setting.has_trouble.then_some(LATE_BY);
    let born = 1_790_000_000_000;
    let Some((worker, address)) = Worker::start("i-w0", born, FILLING, late_by, record) else {
        return Verdict::NotRun("no loopback port is free".to_owned());
    };
    let entry = json!({
        "service": "alpha", "address": address.to_string(), "zone": "lahore-a", "version": "v1",
        "slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": born,
        "capacity": { "cpu": 16_000, "mem-mb": 65_536, "gpu": 0 },
        "labels": ["kind-a", "r-0"], "machine": "m-w0",
    });
    platform.write_own_row("servers", "", &worker.id, entry.to_string().as_bytes());
    let listed = json!({ "machines": [{
        "machine": "m-w0", "pool": "alpha", "state": "up", "zone": "lahore-a",
        "labels": ["kind-a", "r-0"], "id": worker.id,
        "capacity": { "cpu": 16_000, "mem-mb": 65_536, "gpu": 0 },
    }], "next-page-token": null });
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
    let submit = |id: &str, job: Value| {
        wait_until(LIMIT, || {
            let path = format!("/a/{id}");
            let text = job.to_string();
            let headers = [("X-Hyssopworks-Deadline-Ms", "3000")];
            let limit = Duration::from_secs(3);
            let answer = call(edges[0].front, "POST", &path, &headers, &text, limit);
            let status = answer.map_or(0, |answer| answer.status());
            record.note(&format!("client: POST {path} {text}: {status}"));
            status == 200
        })
    };
    let serving = json!({ "specification": "serve", "steps": [{
        "count": 1, "cpu": 4_000, "mem-mb": 1_024, "estimated-ms": 900, "long-running": true,
        "image": "serve", "target-ms": TARGET_MS,
    }] });
    if !submit(SERVING, serving) || !wait_until(LIMIT, || worker.tail().is_some()) {
        return Verdict::NotRun("the serving job isn't at work".to_owned());
    }
    let filling = json!({ "specification": "fill", "steps": [{
        "count": 1, "cpu": 4_000, "mem-mb": 1_024, "estimated-ms": 120_000, "fills": true,
        "image": "fill",
    }] });
    if !submit(FILLING, filling) {
        return Verdict::NotRun("the filling job isn't accepted".to_owned());
    }
    let started = record.now();
    let mut over_since: Option<Duration> = None;
    let mut longest = Duration::ZERO;
    let mut last = None;
    while record.now() < started + WATCH_TIME {
        thread::sleep(SAMPLE_INTERVAL);
        let now = record.now();
        let tail = worker.tail();
        if tail != last {
            record.note(&format!("tail and pace: {tail:?}, target {TARGET_MS}"));
            last = tail;
        }
        // Near the late order nothing is judged.
        let is_calm = match worker.late() {
            (Some(_), Some(done)) => now >= done + CONTACT_WINDOW,
            (Some(_), None) => false,
            _ => true,
        };
        let is_over = tail.is_some_and(|(tail, pace)| tail > TARGET_MS && pace > 0);
        over_since = if is_calm && is_over {
            over_since.or(Some(now))
        } else {
            None
        };
        let span = over_since.map_or(Duration::ZERO, |since| now - since);
        longest = longest.max(span);
    }
    let text = format!(
        "longest time over the target in calm, beside work that fills: {:.2} s (harm-ms 4 s)",
        longest.as_secs_f64()
    );
    record.note(&text);
    if setting.has_trouble && worker.late().1.is_none() {
        return Verdict::NotRun("no order on pace was sent".to_owned());
    }
    if longest >= HARM {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    }
}
