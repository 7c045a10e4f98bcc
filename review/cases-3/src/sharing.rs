//! A worker on which a subtask that serves and subtasks that fill share more than their room shows.

use crate::record::Record;
use crate::server::{serve, Answer};
use crate::wire::Message;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// `hold-max-ms` of the settings.
const HOLD_MAX_MS: u64 = 10_000;
/// `pace-ms` of the settings.
const PACE_DELAY: Duration = Duration::from_millis(100);
const STOP_TIME: Duration = Duration::from_millis(500);
const STARTUP: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(10);
/// The tail of the serving subtask alone, and what all of the filling one's work adds to it.
const BASE_TAIL_MS: f64 = 55.0;
const ADDED_TAIL_MS: f64 = 250.0;

struct Run {
    number: u64,
    started_at: Instant,
    /// The share of its speed, and the next one with the time from which it holds.
    percent: u64,
    next: Option<(Instant, u64)>,
    stops_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each subtask that can't be started any more.
    stale: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Whether the next order on pace stays unanswered and is carried out late.
    is_armed: bool,
}

/// The worker.
pub struct Worker {
    pub id: String,
    born: i64,
    origin: Instant,
    /// The job whose subtask fills.
    filling: String,
    late_by: Duration,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    /// When the late order was received and when it was carried out.
    late: Mutex<(Option<Duration>, Option<Duration>)>,
    /// The starts and ends of runs here.
    spans: Mutex<Vec<Span>>,
}

/// One run of a subtask.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub started_at: Duration,
    /// When it ended and how, `None` while it goes on.
    pub end: Option<(Duration, &'static str)>,
}

impl Span {
    /// Returns whether the subtask was at work at a time, past its startup.
    pub fn is_at_work(&self, at: Duration) -> bool {
        at >= self.started_at + STARTUP && self.end.is_none_or(|(ended_at, _)| at < ended_at)
    }
}

impl Worker {
    pub fn start(
        id: &str,
        born: i64,
        filling: &str,
        late_by: Option<Duration>,
        record: &Record,
    ) -> Option<(Arc<Self>, SocketAddr)> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            born,
            origin: Instant::now(),
            filling: filling.to_owned(),
            late_by: late_by.unwrap_or_default(),
            state: Mutex::new(State {
                is_armed: late_by.is_some(),
                ..State::default()
            }),
            changed: Condvar::new(),
            record: record.clone(),
            late: Mutex::default(),
            spans: Mutex::default(),
        });
        let serving = worker.clone();
        let address = serve(move |path, call| serving.handle(path, call))?;
        let ticking = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(TICK);
            let mut state = ticking.lock();
            ticking.advance(&mut state);
        });
        Some((worker, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    /// When the late order was received and carried out.
    pub fn late(&self) -> (Option<Duration>, Option<Duration>) {
        *self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn spans(&self) -> Vec<Span> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.clone()
    }

    /// The tail of the serving subtask and the speed of the filling one, if both are at work.
    pub fn tail(&self) -> Option<(f64, u64)> {
        let state = self.lock();
        self.tail_of(&state)
    }

    fn tail_of(&self, state: &State) -> Option<(f64, u64)> {
        let mut serving = state.runs.iter().filter(|(task, _)| !self.is_filling(task));
        serving.find(|(_, run)| run.started_at.elapsed() >= STARTUP)?;
        let filling = state.runs.iter().find(|(task, _)| self.is_filling(task));
        let percent = filling.map_or(0, |(_, run)| run.percent);
        Some((
            BASE_TAIL_MS + ADDED_TAIL_MS * percent as f64 / 100.0,
            percent,
        ))
    }

    fn is_filling(&self, task: &str) -> bool {
        task.starts_with(&self.filling)
    }

    /// Ends what has ended by now and applies speeds.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let has_lapsed = state.lease_end_ms <= self.clock_ms();
        let mut ended = Vec::new();
        for (task, run) in &mut state.runs {
            if let Some((_, percent)) = run.next.filter(|(at, _)| *at <= now) {
                run.percent = percent;
                run.next = None;
                self.record.note(&format!(
                    "worker: {task} run {} works at {percent}%",
                    run.number
                ));
            }
            if has_lapsed {
                ended.push((task.clone(), run.number, "lapsed"));
            } else if run.stops_at.is_some_and(|at| at <= now) {
                ended.push((task.clone(), run.number, "stopped"));
            }
        }
        for (task, number, how) in ended {
            self.record
                .note(&format!("worker: {task} run {number} ends: {how}"));
            let now = self.record.now();
            let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
            let of_run = spans.iter_mut().rev().find(|span| span.task == task);
            if let Some(span) = of_run {
                span.end = Some((now, how));
            }
            drop(spans);
            state.runs.remove(&task);
            state.stale.insert(task.clone(), number);
            state.last_end += 1;
            state.ended.push((state.last_end, task, number, how));
            self.changed.notify_all();
        }
    }

    fn handle(self: &Arc<Self>, path: &str, call: &Message) -> Answer {
        if call.header("X-Hyssopworks-Expect-Instance") != Some(self.id.as_str()) {
            return Answer::Body(421, "{}".to_owned());
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let mut state = self.lock();
        self.advance(&mut state);
        if path == "/pace" && std::mem::take(&mut state.is_armed) {
            drop(state);
            let text = call.text();
            self.note_late(0);
            self.record.note(&format!(
                "LATE: the worker leaves an order unanswered and carries it out {} s later: {text}",
                self.late_by.as_secs_f64()
            ));
            let worker = self.clone();
            thread::spawn(move || {
                thread::sleep(worker.late_by);
                let mut state = worker.lock();
                let (status, answer) = worker.perform("/pace", &body, &mut state);
                drop(state);
                worker.note_late(1);
                worker.record.note(&format!(
                    "worker: carries out late {text}: {status} {answer}"
                ));
            });
            return Answer::Nothing;
        }
        if path == "/hold" {
            return self.hold(&body, state);
        }
        let (status, answer) = self.perform(path, &body, &mut state);
        self.record
            .note(&format!("worker: POST {path} {}: {status}", call.text()));
        Answer::Body(status, answer.to_string())
    }

    fn note_late(&self, part: usize) {
        let now = Some(self.record.now());
        let mut late = self.late.lock().unwrap_or_else(PoisonError::into_inner);
        if part == 0 {
            late.0 = now;
        } else {
            late.1 = now;
        }
    }

    /// Performs an order.
    fn perform(&self, path: &str, body: &Value, state: &mut State) -> (u16, Value) {
        let now_ms = self.clock_ms();
        let refuse = |reason: &str| (409, json!({ "clock-ms": now_ms, "reason": reason }));
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let done = (200, json!({ "clock-ms": now_ms }));
        match path {
            "/run-start" => {
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.number == number)
                {
                    return done;
                }
                let is_stale = state.stale.get(&task).is_some_and(|stale| *stale >= number);
                if is_stale || state.runs.contains_key(&task) {
                    return refuse("old");
                }
                let deadline = body["deadline-ms"].as_u64().unwrap_or(0);
                if deadline <= now_ms {
                    return refuse("late");
                }
                self.extend(state, deadline, now_ms);
                let run = Run {
                    number,
                    started_at: Instant::now(),
                    percent: 100,
                    next: None,
                    stops_at: None,
                };
                let span = Span {
                    task: task.clone(),
                    started_at: self.record.now(),
                    end: None,
                };
                let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
                spans.push(span);
                state.runs.insert(task, run);
                done
            }
            "/run-stop" => {
                let stale = state.stale.entry(task.clone()).or_insert(0);
                *stale = (*stale).max(number);
                if let Some(run) = state.runs.get_mut(&task).filter(|run| run.number <= number) {
                    run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                done
            }
            "/pace" => {
                let percent = body["percent"].as_u64().unwrap_or(100);
                if let Some(run) = state.runs.get_mut(&task).filter(|run| run.number == number) {
                    run.next = Some((Instant::now() + PACE_DELAY, percent));
                }
                done
            }
            _ => (404, json!({})),
        }
    }

    fn extend(&self, state: &mut State, deadline: u64, now_ms: u64) {
        state.lease_end_ms = state.lease_end_ms.max(deadline.min(now_ms + HOLD_MAX_MS));
    }

    fn hold(&self, body: &Value, mut state: MutexGuard<'_, State>) -> Answer {
        let now_ms = self.clock_ms();
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        if fence < state.fence {
            let refusal = json!({ "clock-ms": now_ms, "reason": "fence" });
            return Answer::Body(409, refusal.to_string());
        }
        state.fence = fence;
        if let Some(deadline) = body["deadline-ms"].as_u64() {
            self.extend(&mut state, deadline, now_ms);
        }
        let seen = body["seen-upto"].as_u64().unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let known = state.last_end;
        while state.last_end == known {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let tail = self.tail_of(&state);
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let age = run.started_at.elapsed();
                let (percent, gauge) = if self.is_filling(task) {
                    (age.as_millis() as u64 / 1_200, 4_000 * run.percent / 100)
                } else {
                    let is_up = age >= STARTUP;
                    (
                        if is_up { 100 } else { 0 },
                        tail.map_or(0, |(tail, _)| tail as u64),
                    )
                };
                json!([task, run.number, "", percent, gauge])
            })
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let report = json!({
            "clock-ms": self.clock_ms(), "born": self.born, "running": running, "ended": ended,
        });
        Answer::Body(200, report.to_string())
    }
}
