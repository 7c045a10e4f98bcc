//! The store turns a machine on a slow link away while a large configuration changes.

use crate::cut::{limited_way, Cut};
use crate::edge::{wait_until, Edge, Place};
use crate::wire::call;
use crate::{Setting, Verdict};
use platform_standin::{Access, Platform, Shape};
use serde_json::{json, Value};
use std::thread;
use std::time::Duration;

/// As `big_config` makes it on the site.
const ROUTE_COUNT: usize = 1_650;
/// 10 Mbit/s.
const SLOW_BYTES_PER_S: u64 = 1_250_000;
const STORE_ANSWER_TIME: Duration = Duration::from_millis(4);
const AWAY_TIME: Duration = Duration::from_secs(9);
const CHANGE_COUNT: usize = 4;
/// `contact-window-ms` and `config-apply-ms` of the site.
const CONTACT_WINDOW: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const LIMIT: Duration = Duration::from_secs(20);
const SLOW: &str = "e5";

/// A configuration with a route more for each version.
fn configuration(version: usize) -> Value {
    let route = |number: usize| {
        json!({
            "name": format!("r-{number:07}"), "hostname": "kafi706.example",
            "path-prefix": format!("/puxa{number:05}/"), "kind": "unsafe", "timeout-ms": 3000,
            "target-latency-ms": 600, "priority": 1, "service": "alpha", "max-attempts": 3,
            "stretch": 1.6,
        })
    };
    let routes: Vec<Value> = (0..ROUTE_COUNT + version).map(route).collect();
    json!({
        "version": version, "limits": { "max-body-bytes": 262_144 }, "routes": routes,
        "services": [{ "name": "alpha", "rejects-overload": true }],
    })
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(&Shape {
        pools: vec![("alpha".to_owned(), 3)],
        spare: None,
    });
    platform.write_operator_row("config", &configuration(1));
    let mut edges = Vec::new();
    for number in 0..6 {
        let name = format!("e{number}");
        let is_slow = name == SLOW;
        let rate = is_slow.then_some(SLOW_BYTES_PER_S);
        let target = platform.store_for(&name);
        let Some(store) = limited_way(target, &Cut::default(), STORE_ANSWER_TIME, rate) else {
            return Verdict::NotRun("no loopback port is free".to_owned());
        };
        let place = Place {
            zone: ["lahore-a", "lahore-b", "gujranwala"][number % 3].to_owned(),
            name,
            store,
            machines: platform.machines,
            advice: None,
            cpu_share: if is_slow { 0.12 } else { 0.5 },
        };
        let Some(edge) = Edge::start(&setting.root, &setting.temporary, &place, record) else {
            return Verdict::NotRun(format!("{} doesn't start", place.name));
        };
        edges.push(edge);
    }
    let slow = &edges[5];
    let status = |version: usize| {
        let path = format!("/puxa{:05}/", ROUTE_COUNT + version - 1);
        let headers = [("Host", "kafi706.example")];
        let limit = Duration::from_secs(4);
        let answer = call(slow.front, "GET", &path, &headers, "", limit);
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!(
            "client: GET {path} (version {version}) at {SLOW}: {status}"
        ));
        status
    };
    if !wait_until(LIMIT, || {
        edges.iter().any(|edge| edge.owns("alpha")) && status(1) == 200
    }) {
        return Verdict::NotRun("the pool has no owner, or the first route isn't there".to_owned());
    }
    // Links without use are closed after 30 s.
    thread::sleep(Duration::from_secs(34));
    if setting.has_trouble {
        record.note(&format!("the store turns {SLOW} away (503)"));
        platform.set_access(SLOW, Access::Busy);
    }
    for number in 0..CHANGE_COUNT {
        thread::sleep(AWAY_TIME / CHANGE_COUNT as u32);
        let version = 2 + number;
        let value = configuration(version);
        record.note(&format!(
            "operator writes version {version}, {} bytes",
            value.to_string().len()
        ));
        platform.write_operator_row("config", &value);
    }
    record.note(&format!("the store serves {SLOW} again"));
    platform.set_access(SLOW, Access::Open);
    // From then on the machine is in touch, and the last version was confirmed long enough ago.
    thread::sleep(CONTACT_WINDOW.max(CONFIG_APPLY) + Duration::from_millis(100));
    let answers: Vec<u16> = (0..3)
        .map(|_| {
            let answer = status(1 + CHANGE_COUNT);
            thread::sleep(Duration::from_secs(1));
            answer
        })
        .collect();
    if answers[0] == 404 {
        Verdict::Broken(format!(
            "a route is refused with 404 {} ms after its version was confirmed, answers: {answers:?}",
            CONTACT_WINDOW.as_millis() + 100
        ))
    } else {
        Verdict::Held
    }
}
