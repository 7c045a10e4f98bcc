//! Many jobs come at once on a queue whose policy allows a step only on some workers.

use crate::edge::{wait_until, Edge, Place};
use crate::server::{serve, Answer};
use crate::wire::{call, Message};
use crate::{Setting, Verdict};
use platform_standin::{Platform, Run, Shape};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const JOB_COUNT: usize = 60;
/// A burst of 20 jobs a second, and the pace of a quiet day.
const BURST_INTERVAL: Duration = Duration::from_millis(50);
const QUIET_INTERVAL: Duration = Duration::from_millis(350);
const WORKER_COUNT: usize = 12;
const WORKER_CPU: u64 = 16_000;
const TASKS: u32 = 2;
const TASK_CPU: u64 = 1_000;
const TASK_MS: u64 = 640;
const DECISION_MS: u64 = 100;
const EACH_MS: u64 = 5;
const VALID_MS: u64 = 3_000;
/// Calls beyond this number of waiting ones get 429.
const MAX_WAITING: usize = 32;
/// `finish_s`, and the time for which a job must have nothing running.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(20);

fn configuration() -> Value {
    json!({
        "version": 1, "limits": { "max-body-bytes": 65_536 },
        "routes": [{
            "name": "ra", "hostname": "127.0.0.1", "path-prefix": "/a/", "kind": "unsafe",
            "timeout-ms": 3000, "priority": 0, "target-latency-ms": 600, "service": "alpha",
            "max-attempts": 4, "stretch": 1.6,
            "advice": {
                "decision-ms": DECISION_MS, "each-ms": EACH_MS, "valid-ms": VALID_MS,
            },
        }],
        "services": [{ "name": "alpha", "rejects-overload": true }],
    })
}

/// The service that knows which workers may run a step. It handles one call at a time: all calls come
/// from the pool's owner.
struct Advice {
    turn: Mutex<()>,
    waiting: AtomicUsize,
    answered: AtomicUsize,
}

impl Advice {
    fn advise(&self, request: &Message) -> Answer {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let step = body["step"].as_str().unwrap_or("");
        let workers: Vec<&str> = body["workers"]
            .as_array()
            .map(|ids| ids.iter().filter_map(Value::as_str).collect())
            .unwrap_or_default();
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= MAX_WAITING {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return Answer::Body(429, "{}".to_owned());
        }
        let turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(
            DECISION_MS + EACH_MS * workers.len() as u64,
        ));
        drop(turn);
        self.answered.fetch_add(1, Ordering::SeqCst);
        let good: Vec<Value> = workers
            .iter()
            .map(|id| json!([id, format!("{step}-{id}")]))
            .collect();
        let answer = json!({ "good": good, "valid-ms": VALID_MS });
        Answer::Body(200, answer.to_string())
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let platform = Platform::start(&Shape {
        pools: vec![("alpha".to_owned(), WORKER_COUNT)],
        spare: None,
    });
    platform.write_operator_row("config", &configuration());
    let advice = Arc::new(Advice {
        turn: Mutex::default(),
        waiting: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
    });
    let advising = advice.clone();
    let Some(advice_address) = serve(move |_, request| advising.advise(request)) else {
        return Verdict::NotRun("no loopback port is free".to_owned());
    };
    let mut edges = Vec::new();
    for (name, zone) in [("e0", "lahore-a"), ("e1", "lahore-b"), ("e2", "gujranwala")] {
        let place = Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store: platform.store,
            machines: platform.machines,
            advice: Some(advice_address),
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
    thread::sleep(Duration::from_secs(1));
    let job = json!({ "specification": TASK_MS.to_string(), "steps": [{
        "count": TASKS, "cpu": TASK_CPU, "mem-mb": 256, "estimated-ms": TASK_MS,
    }] })
    .to_string();
    let interval = if setting.has_trouble {
        BURST_INTERVAL
    } else {
        QUIET_INTERVAL
    };
    record.note(&format!(
        "clients hand in {JOB_COUNT} jobs, one each {} ms: {job}",
        interval.as_millis()
    ));
    let accepted: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..JOB_COUNT {
        let id = format!("{:016x}", 0xa000 + number);
        let front = edges[number % edges.len()].front;
        let (accepted, record, job) = (accepted.clone(), record.clone(), job.clone());
        clients.push(thread::spawn(move || {
            let headers = [("X-Hyssopworks-Deadline-Ms", "3000")];
            let path = format!("/a/{id}");
            let limit = Duration::from_secs(3);
            let answer = call(front, "POST", &path, &headers, &job, limit);
            let status = answer.map_or(0, |answer| answer.status());
            record.note(&format!("client: POST {path}: {status}"));
            if status == 200 {
                let mut accepted = accepted.lock().unwrap_or_else(PoisonError::into_inner);
                accepted.insert(id);
            }
        }));
        thread::sleep(interval);
    }
    for client in clients {
        let _ = client.join();
    }
    record.note("the traffic has ended");
    for _ in 0..FINISH.as_secs() {
        thread::sleep(Duration::from_secs(1));
        let runs = platform.runs();
        record.note(&format!(
            "{} starts, {} runs done, {} calls for advice answered",
            runs.len(),
            runs.iter().filter(|run| run.outcome == "done").count(),
            advice.answered.load(Ordering::SeqCst)
        ));
    }
    // From finish_s after the traffic's end: what has nothing running for 3 s.
    let from = platform.now();
    thread::sleep(IDLE);
    let to = platform.now();
    let runs = platform.runs();
    let accepted = accepted.lock().unwrap_or_else(PoisonError::into_inner);
    let is_busy = |run: &Run| run.started_at < to && run.ended_at.is_none_or(|end| end > from);
    let busy = runs.iter().filter(|run| is_busy(run)).count() as u64;
    let capacity = WORKER_COUNT as u64 * WORKER_CPU;
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let mut idle = Vec::new();
    for id in accepted.iter() {
        let path = format!("/a/{id}");
        let limit = Duration::from_secs(4);
        let answer = call(edges[0].front, "GET", &path, &[], "", limit);
        let text = answer.map_or_else(|| "no answer".to_owned(), |answer| answer.text());
        *states.entry(text).or_default() += 1;
        let of_job = || runs.iter().filter(|run| run.task.starts_with(id.as_str()));
        let is_running = of_job().any(is_busy);
        let done: BTreeSet<&str> = of_job()
            .filter(|run| run.outcome == "done")
            .map(|run| run.task.as_str())
            .collect();
        if !is_running && done.len() < TASKS as usize {
            idle.push(id.clone());
        }
    }
    record.note(&format!("states of the accepted jobs: {states:?}"));
    let text = format!(
        "{} of {} accepted jobs have had nothing running for 3 s, {} s after the traffic's end, \
         with {} of {capacity} thousandths of a core in use",
        idle.len(),
        accepted.len(),
        FINISH.as_secs(),
        busy * TASK_CPU
    );
    record.note(&text);
    if accepted.is_empty() {
        return Verdict::NotRun("no job was accepted".to_owned());
    }
    if !idle.is_empty() && busy * TASK_CPU * 2 < capacity {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    }
}
