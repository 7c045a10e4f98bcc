//! All open channels to the store go silent for good, while new ones work.

use crate::cut::{plain_way, Cut};
use crate::edge::{wait_until, Edge, Place};
use crate::wire::call;
use crate::{Setting, Verdict};
use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::thread;
use std::time::Duration;

const POOLS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(900);
/// "4 ms an answer" (SYSTEM, the platform's store).
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// From the loss of the history on, before the channels go silent.
const CALM_TIME: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(20);

fn configuration() -> Value {
    let route = |pool: &&str| {
        json!({
            "name": format!("r-{pool}"), "hostname": "127.0.0.1",
            "path-prefix": format!("/{pool}/"), "kind": "unsafe", "timeout-ms": 3000, "priority": 0,
            "target-latency-ms": 600, "service": pool, "max-attempts": 3, "stretch": 1.6,
        })
    };
    let routes: Vec<Value> = POOLS.iter().map(route).collect();
    let services: Vec<Value> = POOLS
        .iter()
        .map(|pool| json!({ "name": pool, "rejects-overload": true }))
        .collect();
    json!({
        "version": 1, "limits": { "max-body-bytes": 65_536 }, "routes": routes,
        "services": services,
    })
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(&Shape {
        pools: POOLS.iter().map(|pool| ((*pool).to_owned(), 3)).collect(),
        spare: None,
    });
    platform.write_operator_row("config", &configuration());
    let mut edges = Vec::new();
    for (name, zone) in [("e0", "lahore-a"), ("e1", "lahore-b"), ("e2", "gujranwala")] {
        let cut = Cut::default();
        let Some(store) = plain_way(platform.store, &cut, ANSWER_TIME) else {
            return Verdict::NotRun("no loopback port is free".to_owned());
        };
        let place = Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store,
            machines: platform.machines,
            advice: None,
            cpu_share: 0.25,
        };
        let Some(edge) = Edge::start(&setting.root, &setting.temporary, &place, record) else {
            return Verdict::NotRun(format!("{name} doesn't start"));
        };
        // The machines that are added to the system find all pools owned.
        if !wait_until(LIMIT, || {
            let owned = |pool: &&str| edge.owns(pool);
            !edges.is_empty() || POOLS.iter().all(|pool| owned(&pool))
        }) {
            return Verdict::NotRun("a pool has no owner".to_owned());
        }
        edges.push((edge, cut));
    }
    thread::sleep(Duration::from_secs(1));
    let job = json!({ "specification": "lasts", "steps": [{
        "count": 2, "cpu": 1_000, "mem-mb": 64, "estimated-ms": 900, "long-running": true,
    }] })
    .to_string();
    let mut paths = Vec::new();
    for (number, pool) in POOLS.iter().enumerate() {
        for index in 0..3 {
            let path = format!("/{pool}/{:016x}", 0xd000 + number * 16 + index);
            paths.push((path, edges[index % edges.len()].0.front));
        }
    }
    // The clients of all queues hand their jobs in at the same time, three times.
    for round in 0..3 {
        let mut clients = Vec::new();
        for (path, front) in paths.iter().skip(round).step_by(3).cloned() {
            let job = job.clone();
            clients.push(thread::spawn(move || {
                wait_until(LIMIT, || {
                    let headers = [("X-Hyssopworks-Deadline-Ms", "3000")];
                    let limit = Duration::from_secs(3);
                    call(front, "POST", &path, &headers, &job, limit)
                        .is_some_and(|answer| answer.status() == 200)
                })
            }));
        }
        let accepted = clients.into_iter().map(|client| client.join());
        if !accepted.fold(true, |all, one| all & one.unwrap_or(false)) {
            return Verdict::NotRun("a job isn't accepted".to_owned());
        }
    }
    let cancelled: Vec<_> = paths.iter().take(3).cloned().collect();
    // Every feed reads its table anew, all at once.
    record.note("the store discards its history");
    platform.forget_history();
    thread::sleep(CALM_TIME);
    if setting.has_trouble {
        record.note("all open channels to the store go silent");
        edges.iter().for_each(|(_, cut)| cut.silence());
    }
    thread::sleep(CONTACT_WINDOW + Duration::from_millis(50));
    let sent = record.now();
    let sent_at = platform.now();
    let clients: Vec<_> = cancelled
        .iter()
        .cloned()
        .map(|(path, front)| {
            let record = record.clone();
            thread::spawn(move || {
                // A client asks again until it is confirmed.
                for _ in 0..8 {
                    let headers = [("X-Hyssopworks-Deadline-Ms", "3000")];
                    let answer = call(front, "DELETE", &path, &headers, "", Duration::from_secs(3));
                    let status = answer.map_or(0, |answer| answer.status());
                    let after = (record.now() - sent).as_secs_f64();
                    record.note(&format!(
                        "client: DELETE {path}: {status} after {after:.2} s"
                    ));
                    if status == 200 || status == 410 {
                        return;
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(2));
    let bound = sent_at + ACK_TIMEOUT + CANCEL + STOP;
    let mut latest = Duration::ZERO;
    let mut late = 0;
    let is_cancelled = |task: &str| {
        let mut paths = cancelled.iter();
        paths.any(|(path, _)| path.ends_with(&task[..16]))
    };
    for run in platform.runs().iter().filter(|run| is_cancelled(&run.task)) {
        let ended = run.ended_at.unwrap_or(platform.now());
        latest = latest.max(ended.saturating_sub(sent_at));
        late += usize::from(ended > bound);
    }
    let text = format!(
        "the last subtask ran until {:.2} s after the cancels, {late} of them beyond {:.2} s",
        latest.as_secs_f64(),
        (ACK_TIMEOUT + CANCEL + STOP).as_secs_f64()
    );
    record.note(&text);
    if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    }
}
