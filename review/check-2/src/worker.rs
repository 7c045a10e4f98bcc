//! Workers of a service, by the page "Running subtasks": runs under leases, ends that are listed until
//! they are seen, capacity, and gangs.
//!
//! What a subtask does stands in its specification, as words `NAME=NUMBER`: `cpu` (as requested in its
//! step), `ms` (its work), `gang` (the members of its gang) and `fails` (so many of the first runs of
//! the gang or subtask end `failed` after their work).

use platform_standin::Platform;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The capacity of each worker, in thousandths of a core.
pub const CPU: u64 = 16_000;
/// The label of the first workers, and that of the others.
pub const LABEL: &str = "kind-b";
const OTHER_LABEL: &str = "kind-a";
/// `hold-max-ms` and `gang-ms` of the settings.
const HOLD_MAX_MS: u64 = 6_000;
const GANG_MS: u64 = 3_000;
/// How long a stop takes; `stop-ms` is 900.
const STOP_MS: u64 = 50;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(5);

/// The workers of one service, which know the members of a gang on each other.
#[derive(Clone)]
pub struct Workers {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    origin: Instant,
}

#[derive(Default)]
struct State {
    workers: Vec<Worker>,
    /// All runs, in the order of their starts.
    log: Vec<Logged>,
    /// Starts that were rejected, by reason.
    rejected: BTreeMap<String, usize>,
    /// The runs of each gang or single subtask that have ended `failed`.
    failed: BTreeMap<String, BTreeSet<u64>>,
    /// The gangs that have ended `done`.
    done: BTreeSet<String>,
}

#[derive(Default)]
struct Worker {
    id: String,
    /// The Unix millisecond of the start of this life, by the time of day on its machine.
    born: u64,
    /// When this life began; its clock counts from then.
    booted_at: u64,
    is_down: bool,
    fence: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run of each subtask that was stopped or has ended here.
    old: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

struct Run {
    number: u64,
    cpu: u64,
    work_ms: u64,
    members: usize,
    fails: usize,
    arrived_at: u64,
    /// When the work began: at once, or when the gang was complete.
    began_at: Option<u64>,
    stopping_at: Option<u64>,
    logged: usize,
}

/// A run, with times in milliseconds since the start of the workers.
#[derive(Clone)]
pub struct Logged {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

/// What a worker's entry in the store says of its life.
pub struct Entry {
    pub id: String,
    pub born: u64,
    pub is_down: bool,
}

/// The entries of the workers in the platform's store.
#[derive(Clone)]
pub struct Entries {
    platform: Platform,
    service: String,
    addresses: Vec<String>,
    labelled: usize,
}

impl Entries {
    /// Writes a worker's entry.
    pub fn write(&self, number: usize, entry: &Entry) {
        let label = if number < self.labelled {
            LABEL
        } else {
            OTHER_LABEL
        };
        let row = json!({
            "service": self.service, "address": self.addresses[number], "zone": "zone-a",
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "clock-ms": 0,
            "capacity": { "cpu": CPU, "mem-mb": 65_536, "gpu": 0 },
            "labels": [label, format!("r-{}", number / 4)], "sequence": unix_ms(),
            "born": entry.born, "machine": format!("m-{}", entry.id),
        });
        let bytes = row.to_string();
        self.platform
            .write_own_row("servers", "", &entry.id, bytes.as_bytes());
    }
}

/// Returns the true time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns the name of a subtask's step, which a gang's members share.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn words(specification: &str, name: &str) -> u64 {
    let found = specification
        .split(' ')
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl Workers {
    /// Starts `count` workers of a service, the first `labelled` with [`LABEL`], and registers them.
    pub fn start(
        platform: &Platform,
        service: &str,
        count: usize,
        labelled: usize,
    ) -> (Self, Entries) {
        let workers = Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                changed: Condvar::new(),
                origin: Instant::now(),
            }),
        };
        let mut addresses = Vec::new();
        for number in 0..count {
            workers.lock().workers.push(Worker {
                id: format!("i-{service}-{number}"),
                born: unix_ms(),
                ..Worker::default()
            });
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address");
            addresses.push(address.to_string());
            let serving = workers.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let serving = serving.clone();
                    thread::spawn(move || serving.serve(number, stream));
                }
            });
        }
        let entries = Entries {
            platform: platform.clone(),
            service: service.to_owned(),
            addresses,
            labelled,
        };
        for number in 0..count {
            entries.write(number, &workers.entry(number));
        }
        let beating = workers.clone();
        let writing = entries.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            for number in 0..count {
                let entry = beating.entry(number);
                if !entry.is_down {
                    writing.write(number, &entry);
                }
            }
        });
        let ticking = workers.clone();
        thread::spawn(move || loop {
            thread::sleep(STEP);
            ticking.tick();
        });
        (workers, entries)
    }

    /// Returns what a worker's entry says of its life at present.
    pub fn entry(&self, number: usize) -> Entry {
        let state = self.lock();
        let worker = &state.workers[number];
        Entry {
            id: worker.id.clone(),
            born: worker.born,
            is_down: worker.is_down,
        }
    }

    /// Ends a worker's life without notice: it answers nothing, and what ran on it has ended.
    pub fn crash(&self, number: usize) {
        let now = self.now_ms();
        let state = &mut *self.lock();
        let worker = &mut state.workers[number];
        worker.is_down = true;
        for run in std::mem::take(&mut worker.runs).into_values() {
            let logged = &mut state.log[run.logged];
            (logged.ended_ms, logged.how) = (Some(now), "crashed");
        }
    }

    /// Starts a worker again under its id. It knows nothing of before, and its clock starts anew.
    /// `ahead_ms` is how far the time of day of its machine is ahead.
    pub fn boot(&self, number: usize, ahead_ms: u64) {
        let now = self.now_ms();
        let worker = &mut self.lock().workers[number];
        *worker = Worker {
            id: worker.id.clone(),
            born: unix_ms() + ahead_ms,
            booted_at: now,
            ..Worker::default()
        };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    /// Returns the time since the start of the workers, which is their clock.
    pub fn now_ms(&self) -> u64 {
        self.shared.origin.elapsed().as_millis() as u64
    }

    pub fn log(&self) -> Vec<Logged> {
        self.lock().log.clone()
    }

    pub fn rejected(&self) -> BTreeMap<String, usize> {
        self.lock().rejected.clone()
    }

    /// Returns the CPU in use on all workers.
    pub fn used(&self) -> u64 {
        let state = self.lock();
        let runs = state.workers.iter().flat_map(|worker| worker.runs.values());
        runs.map(|run| run.cpu).sum()
    }

    /// Returns how many of the first `count` workers have room for this much.
    pub fn with_room(&self, cpu: u64, count: usize) -> usize {
        let state = self.lock();
        let used = |worker: &Worker| worker.runs.values().map(|run| run.cpu).sum::<u64>();
        let first = state.workers.iter().take(count);
        first.filter(|worker| used(worker) + cpu <= CPU).count()
    }

    /// Begins the work of complete gangs and ends what has to end.
    fn tick(&self) {
        let now = self.now_ms();
        let state = &mut *self.lock();
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for worker in &state.workers {
            for (task, run) in worker
                .runs
                .iter()
                .filter(|(_, run)| run.stopping_at.is_none())
            {
                *present
                    .entry((step_of(task).to_owned(), run.number))
                    .or_insert(0) += 1;
            }
        }
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        let mut over: Vec<(String, u64, bool)> = Vec::new();
        for (index, worker) in state.workers.iter_mut().enumerate() {
            let is_lapsed = worker.lease_end <= now;
            for (task, run) in &mut worker.runs {
                let step = step_of(task).to_owned();
                let is_complete = run.members == 0
                    || present.get(&(step.clone(), run.number)) == Some(&run.members);
                if run.began_at.is_none() && is_complete {
                    run.began_at = Some(now);
                }
                let key = if run.members > 0 { step } else { task.clone() };
                let failures = state.failed.get(&key).map_or(0, BTreeSet::len);
                if is_lapsed {
                    ends.push((index, task.clone(), "lapsed"));
                } else if run.stopping_at.is_some_and(|at| now >= at + STOP_MS) {
                    ends.push((index, task.clone(), "stopped"));
                } else if run.stopping_at.is_none()
                    && run.began_at.is_some_and(|at| now >= at + run.work_ms)
                {
                    let is_failing = failures < run.fails;
                    over.push((key, run.number, is_failing));
                    if run.members == 0 {
                        ends.push((
                            index,
                            task.clone(),
                            if is_failing { "failed" } else { "done" },
                        ));
                    }
                } else if run.began_at.is_none() && now >= run.arrived_at + GANG_MS {
                    ends.push((index, task.clone(), "alone"));
                }
            }
        }
        for (key, number, is_failing) in over {
            let is_known = state.done.contains(&key)
                || state
                    .failed
                    .get(&key)
                    .is_some_and(|runs| runs.contains(&number));
            if is_known {
                continue;
            }
            // Of a gang that fails, one member ends `failed` and the others `broken`.
            let mut is_first = true;
            for (index, worker) in state.workers.iter().enumerate() {
                for (task, run) in &worker.runs {
                    if run.members > 0 && run.number == number && step_of(task) == key {
                        let how = match (is_failing, is_first) {
                            (false, _) => "done",
                            (true, true) => "failed",
                            (true, false) => "broken",
                        };
                        is_first = false;
                        ends.push((index, task.clone(), how));
                    }
                }
            }
            if is_failing {
                state.failed.entry(key).or_default().insert(number);
            } else {
                state.done.insert(key);
            }
        }
        let has_ends = !ends.is_empty();
        for (index, task, how) in ends {
            let Some(run) = state.workers[index].runs.remove(&task) else {
                continue;
            };
            let logged = &mut state.log[run.logged];
            (logged.ended_ms, logged.how) = (Some(now), how);
            let worker = &mut state.workers[index];
            let old = worker.old.entry(task.clone()).or_insert(0);
            *old = (*old).max(run.number);
            worker.last_end += 1;
            worker.ended.push((worker.last_end, task, run.number, how));
            // A gang that loses a member otherwise ends.
            if run.members > 0 && matches!(how, "stopped" | "lapsed") {
                for other in &mut state.workers {
                    for (task, member) in &mut other.runs {
                        if member.number == run.number && step_of(task) == step_of(&logged.task) {
                            member.work_ms = u64::MAX / 2;
                        }
                    }
                }
            }
        }
        if has_ends {
            self.shared.changed.notify_all();
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some((path, expected, body)) = read_request(&mut reader) {
            let Some((status, answer)) = self.handle(index, &path, &expected, &body) else {
                return;
            };
            let text = answer.to_string();
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(
        &self,
        index: usize,
        path: &str,
        expected: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let mut guard = self.lock();
        let now = self.now_ms();
        let state = &mut *guard;
        let worker = &mut state.workers[index];
        if worker.is_down {
            return None;
        }
        let clock = now - worker.booted_at;
        if expected != worker.id {
            return Some((421, json!({})));
        }
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let refuse = |reason: &str| (409, json!({ "clock-ms": clock, "reason": reason }));
        if number("fencing-token") < worker.fence {
            return Some(refuse("fence"));
        }
        worker.fence = number("fencing-token");
        let extend = |worker: &mut Worker| {
            let deadline = number("deadline-ms").min(clock + HOLD_MAX_MS);
            worker.lease_end = worker.lease_end.max(deadline + worker.booted_at);
        };
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let answer = match path {
            "/run-start" => {
                let run = number("run");
                let specification = body["specification"].as_str().unwrap_or("");
                let cpu = words(specification, "cpu");
                let used: u64 = worker.runs.values().map(|run| run.cpu).sum();
                let running = worker.runs.get(&task).map(|run| run.number);
                if running == Some(run) {
                    return Some((200, json!({ "clock-ms": clock })));
                }
                let reason =
                    if running.is_some() || worker.old.get(&task).is_some_and(|old| *old >= run) {
                        extend(worker);
                        Some("old")
                    } else if number("deadline-ms") <= clock {
                        Some("late")
                    } else if used + cpu > CPU {
                        extend(worker);
                        Some("room")
                    } else {
                        None
                    };
                if let Some(reason) = reason {
                    *state.rejected.entry(reason.to_owned()).or_insert(0) += 1;
                    return Some(refuse(reason));
                }
                extend(worker);
                let logged = state.log.len();
                state.log.push(Logged {
                    task: task.clone(),
                    number: run,
                    worker: worker.id.clone(),
                    started_ms: now,
                    ended_ms: None,
                    how: "",
                });
                worker.runs.insert(
                    task,
                    Run {
                        number: run,
                        cpu,
                        work_ms: words(specification, "ms"),
                        members: words(specification, "gang") as usize,
                        fails: words(specification, "fails") as usize,
                        arrived_at: now,
                        began_at: None,
                        stopping_at: None,
                        logged,
                    },
                );
                (200, json!({ "clock-ms": clock }))
            }
            "/run-stop" => {
                let old = worker.old.entry(task.clone()).or_insert(0);
                *old = (*old).max(number("run"));
                if let Some(run) = worker
                    .runs
                    .get_mut(&task)
                    .filter(|run| run.number <= number("run"))
                {
                    run.stopping_at.get_or_insert(now);
                }
                (200, json!({ "clock-ms": clock }))
            }
            "/pace" => (200, json!({ "clock-ms": clock })),
            "/hold" => {
                extend(worker);
                worker.ended.retain(|(end, ..)| *end > number("seen-upto"));
                let known = worker.last_end;
                let until = now + number("wait-ms");
                let born = guard.workers[index].born;
                while guard.workers[index].last_end == known && self.now_ms() < until {
                    let left = Duration::from_millis(until - self.now_ms().min(until));
                    guard = self
                        .shared
                        .changed
                        .wait_timeout(guard, left)
                        .expect("no holder panics")
                        .0;
                }
                let worker = &guard.workers[index];
                if worker.is_down || worker.born != born {
                    return None;
                }
                (200, report(worker, self.now_ms()))
            }
            _ => (404, json!({})),
        };
        Some(answer)
    }
}

fn report(worker: &Worker, now: u64) -> Value {
    let percent = |run: &Run| match run.began_at {
        Some(at) => ((now - at) * 99 / run.work_ms.max(1)).min(99),
        None => 0,
    };
    let running: Vec<Value> = worker
        .runs
        .iter()
        .map(|(task, run)| json!([task, run.number, "", percent(run), run.cpu]))
        .collect();
    let ended: Vec<Value> = worker
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
        .collect();
    let clock = now - worker.booted_at;
    json!({ "clock-ms": clock, "born": worker.born, "running": running, "ended": ended })
}

/// Reads one request: its path, the intended boot and its body.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Value)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let path = line.split(' ').nth(1)?.to_owned();
    let (mut length, mut expected) = (0, String::new());
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "x-hyssopworks-expect-instance" => expected = value.trim().to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((
        path,
        expected,
        serde_json::from_slice(&body).unwrap_or(Value::Null),
    ))
}
