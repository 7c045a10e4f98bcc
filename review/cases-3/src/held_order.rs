//! The machine that owns the fleet's instances is cut off from the platform while one of its orders
//! is on its way.

use crate::cut::{plain_way, request_way, Cut, Requests};
use crate::edge::{wait_until, Edge, Place};
use crate::record::Record;
use crate::server::response;
use crate::wire::{call, Message};
use crate::{Setting, Verdict};
use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// As long as machines are cut off on a day of the site file (`node_cut`, `for_s = 12.0`).
const CUT_TIME: Duration = Duration::from_millis(12_000);
const START_LIMIT: Duration = Duration::from_secs(20);
const ORDER_LIMIT: Duration = Duration::from_secs(20);
/// After the cut, for what was held up and for what follows.
const AFTER_TIME: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// One order as the platform received it.
#[derive(Clone, Debug)]
struct Order {
    machine: String,
    holder: String,
    fence: u64,
    status: u16,
    text: String,
    was_held: bool,
}

/// The platform's API for machines, as seen by one machine of the system.
struct Api {
    platform: SocketAddr,
    cut: Cut,
    /// Whether the next order for an upkeep is to meet a cut.
    is_armed: Arc<AtomicBool>,
    orders: Arc<Mutex<Vec<Order>>>,
    /// The upkeeps that have been accepted: machine and wave.
    upkeeps: Arc<Mutex<BTreeSet<(String, u64)>>>,
    record: Record,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Requests for Api {
    fn on_sent(&self, request: &Message) {
        if request.first.starts_with("POST /machine-upkeep")
            && self.is_armed.swap(false, Ordering::SeqCst)
        {
            self.cut.begin();
            let holder = request.header("X-Hyssopworks-Lease-Holder").unwrap_or("");
            let text = request.text();
            self.record.note(&format!(
                "CUT: {holder} is cut off from the platform, its order is on its way: {text}"
            ));
        }
    }

    fn on_arrival(&self, request: &Message, was_held: bool) -> Option<Vec<u8>> {
        let mut words = request.first.split(' ');
        let (method, path) = (words.next()?, words.next()?);
        if method != "POST" {
            let answer = call(self.platform, method, path, &[], "", CALL_TIMEOUT)?;
            return Some(response(answer.status(), &answer.text()));
        }
        let holder = request.header("X-Hyssopworks-Lease-Holder")?.to_owned();
        let fence = request.header("X-Hyssopworks-Fencing-Token")?.to_owned();
        let value: Value = serde_json::from_slice(&request.body).ok()?;
        let machine = value["machine"].as_str()?.to_owned();
        let key = (machine.clone(), value["wave"].as_u64().unwrap_or(0));
        let is_upkeep = path == "/machine-upkeep";
        // "The call also returns 200 if the operation is already done."
        let is_done = is_upkeep && lock(&self.upkeeps).contains(&key);
        let (status, body) = if is_done {
            (200, "{}".to_owned())
        } else {
            let headers = [("X-Hyssopworks-Fencing-Token", fence.as_str())];
            let text = request.text();
            let answer = call(self.platform, method, path, &headers, &text, CALL_TIMEOUT)?;
            (answer.status(), answer.text())
        };
        if is_upkeep && status == 200 {
            lock(&self.upkeeps).insert(key);
        }
        let order = Order {
            machine,
            holder,
            fence: fence.parse().ok()?,
            status,
            text: format!("{path} {}", request.text()),
            was_held,
        };
        self.record.note(&format!(
            "platform receives: {} holder={} fence={} answered={status}{}",
            order.text,
            order.holder,
            order.fence,
            if was_held {
                " (held up by the cut)"
            } else {
                ""
            }
        ));
        lock(&self.orders).push(order);
        Some(response(status, &body))
    }
}

fn configuration() -> Value {
    json!({
        "version": 1, "limits": { "max-body-bytes": 65_536 },
        "routes": [{
            "name": "ra", "hostname": "127.0.0.1", "path-prefix": "/a/", "kind": "unsafe",
            "timeout-ms": 3000, "priority": 0, "target-latency-ms": 600, "service": "alpha",
            "max-attempts": 2, "stretch": 1.6,
        }],
        "services": [
            { "name": "alpha", "rejects-overload": true },
            { "name": "spare", "rejects-overload": true, "spare": true },
        ],
    })
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(&Shape {
        pools: vec![("alpha".to_owned(), 4), ("spare".to_owned(), 4)],
        spare: Some("spare".to_owned()),
    });
    platform.write_operator_row("config", &configuration());
    let is_armed = Arc::new(AtomicBool::new(false));
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let upkeeps = Arc::default();
    let mut edges: Vec<(Edge, Cut)> = Vec::new();
    for (name, zone) in [("e0", "lahore-a"), ("e1", "lahore-b"), ("e2", "gujranwala")] {
        let cut = Cut::default();
        let api = Arc::new(Api {
            platform: platform.machines,
            cut: cut.clone(),
            is_armed: is_armed.clone(),
            orders: orders.clone(),
            upkeeps: Arc::clone(&upkeeps),
            record: record.clone(),
        });
        let store = plain_way(platform.store, &cut, Duration::ZERO);
        let machines = request_way(&cut, api, record);
        let (Some(store), Some(machines)) = (store, machines) else {
            return Verdict::NotRun("no loopback port is free".to_owned());
        };
        let place = Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store,
            machines,
            advice: None,
            cpu_share: 0.25,
        };
        let Some(edge) = Edge::start(&setting.root, &setting.temporary, &place, record) else {
            return Verdict::NotRun(format!("{name} doesn't start"));
        };
        edges.push((edge, cut));
    }
    let has_owner = || edges.iter().any(|(edge, _)| edge.owns("fleet/"));
    if !wait_until(START_LIMIT, has_owner) {
        return Verdict::NotRun("nobody owns the fleet".to_owned());
    }
    // Idle machines return to the spare pool meanwhile.
    thread::sleep(Duration::from_secs(4));
    is_armed.store(setting.has_trouble, Ordering::SeqCst);
    let machines: Vec<String> = platform.pools().into_keys().collect();
    let wave = json!({ "wave": 1, "machines": machines, "duration-s": 26, "cap": 2 });
    record.note(&format!("operator writes op/wave/1: {wave}"));
    platform.write_operator_row("wave/1", &wave);
    if setting.has_trouble {
        if !wait_until(ORDER_LIMIT, || edges.iter().any(|(_, cut)| cut.is_cut())) {
            return Verdict::NotRun("no upkeep was ordered".to_owned());
        }
        thread::sleep(CUT_TIME);
        record.note("the cut heals");
        edges.iter().for_each(|(_, cut)| cut.heal());
    } else {
        thread::sleep(CUT_TIME);
    }
    thread::sleep(AFTER_TIME);
    let held = lock(&orders).iter().filter(|order| order.was_held).count();
    record.note(&format!(
        "{} orders received, {held} of them held up by the cut",
        lock(&orders).len()
    ));
    let verdict = judge(&lock(&orders));
    verdict
}

/// ONE, where fences aren't checked: for one machine, a lower fence after a higher one; or two holders
/// with one fence.
fn judge(orders: &[Order]) -> Verdict {
    let mut highest: BTreeMap<&str, &Order> = BTreeMap::new();
    for order in orders {
        let known = highest.entry(&order.machine).or_insert(order);
        if order.fence < known.fence {
            return Verdict::Broken(format!(
                "{} gets fence {} of {} after fence {} of {} (answered {})",
                order.machine, order.fence, order.holder, known.fence, known.holder, order.status
            ));
        }
        if order.fence == known.fence && order.holder != known.holder {
            return Verdict::Broken(format!(
                "{} gets fence {} of {} and of {}",
                order.machine, order.fence, order.holder, known.holder
            ));
        }
        *known = order;
    }
    Verdict::Held
}
