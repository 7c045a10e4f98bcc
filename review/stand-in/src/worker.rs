//! Workers: one life after another of a machine in a service.

use crate::http::{serve, Reply, Request};
use crate::json::{n, obj, s, Json};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOLD_MAX: Duration = Duration::from_millis(6_000);
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const PACE: Duration = Duration::from_millis(5);

/// How a run goes.
#[derive(Clone, Debug)]
pub struct Course {
    /// `None` for a subtask that lasts.
    pub duration: Option<Duration>,
    pub how: &'static str,
}

/// Tells how a run of a subtask goes: task, run number and specification.
pub type Script = Arc<dyn Fn(&str, i64, &str) -> Course + Send + Sync>;

struct Run {
    number: i64,
    cpu: i64,
    began: Instant,
    course: Course,
    stop_at: Option<Instant>,
}

struct Life {
    born: i64,
    origin: Instant,
    labels: Vec<String>,
    state: &'static str,
    is_up: bool,
    fence: i64,
    lease_until: Instant,
    runs: BTreeMap<String, Run>,
    barred: BTreeMap<String, i64>,
    ended: Vec<(i64, String, i64, &'static str)>,
    /// When each listed end was, by its number.
    ended_at: BTreeMap<i64, Instant>,
    /// When the lease lapsed last.
    lapsed_at: Option<Instant>,
    ends: i64,
    sequence: i64,
}

pub struct Worker {
    pub id: String,
    pub machine: String,
    pub service: String,
    cpu: i64,
    /// Whether starts over the capacity are rejected.
    guards: bool,
    stop_time: Duration,
    life: Mutex<Life>,
    changed: Condvar,
    cut: Mutex<bool>,
    store: Arc<Store>,
    record: Arc<Record>,
    script: Script,
    address: Mutex<Option<SocketAddr>>,
    /// The work that each subtask needs, by job and step, for the capacity.
    needs: Arc<Mutex<BTreeMap<String, i64>>>,
}

fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as i64)
}

impl Life {
    fn new(labels: Vec<String>) -> Self {
        Self {
            born: unix_ms(),
            origin: Instant::now(),
            labels,
            state: "ready",
            is_up: true,
            fence: 0,
            lease_until: Instant::now(),
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            ended_at: BTreeMap::new(),
            lapsed_at: None,
            ends: 0,
            sequence: 0,
        }
    }
    fn clock(&self) -> i64 {
        self.origin.elapsed().as_millis() as i64
    }
    /// Extends the lease to a time on the worker's clock, at most by the longest lease.
    fn extend(&mut self, deadline: i64) {
        let at = self.origin + Duration::from_millis(deadline.max(0) as u64);
        let at = at.min(Instant::now() + HOLD_MAX);
        self.lease_until = self.lease_until.max(at);
    }
}

#[derive(Clone)]
pub struct Shape {
    pub id: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: i64,
    pub guards: bool,
    pub stop_time: Duration,
}

impl Worker {
    pub fn start(
        shape: Shape,
        store: Arc<Store>,
        record: Arc<Record>,
        script: Script,
        needs: Arc<Mutex<BTreeMap<String, i64>>>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            machine: format!("m-{}", shape.id),
            id: shape.id,
            service: shape.service,
            cpu: shape.cpu,
            guards: shape.guards,
            stop_time: shape.stop_time,
            life: Mutex::new(Life::new(shape.labels)),
            changed: Condvar::new(),
            cut: Mutex::new(false),
            store,
            record,
            script,
            address: Mutex::new(None),
            needs,
        });
        let serving = worker.clone();
        let address = serve(Arc::new(move |request| serving.handle(request)));
        *worker.address.lock().unwrap() = Some(address);
        worker.register();
        let ticking = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(PACE);
            ticking.tick();
        });
        let beating = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if beating.life.lock().unwrap().is_up && !beating.is_cut() {
                beating.register();
            }
        });
        worker
    }

    /// Cuts the worker off from all machines and the store, or ends that; it runs on.
    pub fn set_cut(&self, is_cut: bool) {
        *self.cut.lock().unwrap() = is_cut;
        self.record
            .note(format!("worker {}: cut off: {is_cut}", self.id));
        self.changed.notify_all();
    }
    fn is_cut(&self) -> bool {
        *self.cut.lock().unwrap()
    }

    /// Crashes the worker, which is silent from then on: everything that runs on it is gone.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        life.is_up = false;
        self.record.note(format!("worker {}: crashed", self.id));
        for (task, run) in std::mem::take(&mut life.runs) {
            self.record.ended(&task, run.number, &self.id, "crashed");
        }
        self.changed.notify_all();
    }

    /// Starts the worker again under its id, knowing nothing of before; it registers at once.
    pub fn reboot(&self, labels: Vec<String>) {
        let mut life = self.life.lock().unwrap();
        self.record.note(format!(
            "worker {}: started again, labels {labels:?}",
            self.id
        ));
        *life = Life::new(labels);
        drop(life);
        self.register();
    }

    /// Writes the worker's entry in the store.
    pub fn register(&self) {
        let mut life = self.life.lock().unwrap();
        life.sequence += 1;
        let address = self
            .address
            .lock()
            .unwrap()
            .map(|a| a.to_string())
            .unwrap_or_default();
        let entry = obj([
            ("service", s(&*self.service)),
            ("address", s(address)),
            ("zone", s("dsm-kariakoo")),
            ("version", s("v1")),
            ("slots", n(8)),
            ("state", s(life.state)),
            ("cold-remaining-ms", n(0)),
            ("sequence", n(life.sequence)),
            (
                "capacity",
                obj([("cpu", n(self.cpu)), ("mem-mb", n(128_000)), ("gpu", n(0))]),
            ),
            ("labels", Json::Arr(life.labels.iter().map(s).collect())),
            ("clock-ms", n(life.clock())),
            ("born", n(life.born)),
            ("machine", s(&*self.machine)),
        ]);
        drop(life);
        self.store.put("servers", &self.id, Some(&entry));
    }

    fn tick(&self) {
        let mut life = self.life.lock().unwrap();
        if life.is_up {
            self.settle(&mut life);
        }
    }

    /// Ends the runs whose time has come.
    fn settle(&self, life: &mut Life) {
        let now = Instant::now();
        let has_lapsed = life.lease_until <= now;
        if has_lapsed && life.lapsed_at.is_none_or(|at| at < life.lease_until) {
            life.lapsed_at = Some(now);
        }
        let mut over = Vec::new();
        for (task, run) in &life.runs {
            let is_over = run
                .course
                .duration
                .is_some_and(|duration| now >= run.began + duration);
            if has_lapsed {
                over.push((task.clone(), "lapsed"));
            } else if run.stop_at.is_some_and(|at| now >= at) {
                over.push((task.clone(), "stopped"));
            } else if is_over {
                over.push((task.clone(), run.course.how));
            }
        }
        for (task, how) in over {
            if let Some(run) = life.runs.remove(&task) {
                let barred = life.barred.entry(task.clone()).or_insert(0);
                *barred = (*barred).max(run.number);
                life.ends += 1;
                let number = life.ends;
                life.ended.push((number, task.clone(), run.number, how));
                life.ended_at.insert(number, now);
                self.record.ended(&task, run.number, &self.id, how);
                self.changed.notify_all();
            }
        }
    }

    fn need_of(&self, task: &str) -> i64 {
        // ID.K.STEP.INDEX
        let mut parts = task.split('.');
        let (job, _, step) = (parts.next(), parts.next(), parts.next());
        let key = format!("{}.{}", job.unwrap_or(""), step.unwrap_or(""));
        self.needs.lock().unwrap().get(&key).copied().unwrap_or(0)
    }

    /// Returns the work of all that runs, what is being stopped included.
    fn used(life: &Life) -> i64 {
        life.runs.values().map(|run| run.cpu).sum()
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_cut() {
            return Reply::Hang;
        }
        let body = &request.body;
        let mut life = self.life.lock().unwrap();
        if !life.is_up {
            return Reply::Hang;
        }
        if request.header("X-Hyssopworks-Expect-Instance") != Some(&self.id) {
            return Reply::Answer(421, obj([]));
        }
        self.settle(&mut life);
        let refuse = |life: &Life, reason: &str| {
            Reply::Answer(
                409,
                obj([
                    ("clock-ms", n(life.clock())),
                    ("born", n(life.born)),
                    ("reason", s(reason)),
                ]),
            )
        };
        let fence = body.num("fencing-token").unwrap_or(0);
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        match request.path.as_str() {
            "/run-start" => {
                let (task, number) = (body.str("task"), body.num("run").unwrap_or(0));
                let deadline = body.num("deadline-ms").unwrap_or(0);
                if deadline <= life.clock() {
                    return refuse(&life, "late");
                }
                life.extend(deadline);
                if let Some(run) = life.runs.get(&task) {
                    if run.number == number {
                        return self.accept(&life);
                    }
                    return refuse(&life, "old");
                }
                if life
                    .barred
                    .get(&task)
                    .is_some_and(|barred| number <= *barred)
                {
                    return refuse(&life, "old");
                }
                let cpu = self.need_of(&task);
                let used = Self::used(&life) + cpu;
                if used > self.cpu {
                    if self.guards {
                        return refuse(&life, "room");
                    }
                    self.record.note(format!(
                        "worker {}: over its capacity: {used} of {} with {task} run {number}",
                        self.id, self.cpu
                    ));
                }
                let course = (self.script)(&task, number, &body.str("specification"));
                let labels = life.labels.clone();
                self.record.started(&task, number, &self.id, &labels);
                let run = Run {
                    number,
                    cpu,
                    began: Instant::now(),
                    course,
                    stop_at: None,
                };
                life.runs.insert(task, run);
                self.accept(&life)
            }
            "/run-stop" => {
                let (task, number) = (body.str("task"), body.num("run").unwrap_or(0));
                self.record.note(format!(
                    "worker {}: told to stop {task} run {number}",
                    self.id
                ));
                let barred = life.barred.entry(task.clone()).or_insert(0);
                *barred = (*barred).max(number);
                let at = Instant::now() + self.stop_time;
                if let Some(run) = life.runs.get_mut(&task) {
                    if run.number <= number {
                        run.stop_at.get_or_insert(at);
                    }
                }
                self.accept(&life)
            }
            "/pace" => self.accept(&life),
            "/hold" => self.hold(life, body),
            _ => Reply::Answer(404, obj([])),
        }
    }

    fn accept(&self, life: &Life) -> Reply {
        Reply::Answer(
            200,
            obj([("clock-ms", n(life.clock())), ("born", n(life.born))]),
        )
    }

    fn hold(&self, mut life: std::sync::MutexGuard<'_, Life>, body: &Json) -> Reply {
        // `settle` has run, so a lapse before this extension is known.
        if let Some(deadline) = body.num("deadline-ms") {
            life.extend(deadline);
        }
        let seen = body.num("seen-upto").unwrap_or(0);
        let (kept, forgotten): (Vec<_>, Vec<_>) = std::mem::take(&mut life.ended)
            .into_iter()
            .partition(|end| end.0 > seen);
        life.ended = kept;
        for (number, task, run, _) in forgotten {
            let ended_at = life.ended_at.remove(&number);
            if ended_at.is_some() && life.lapsed_at > ended_at {
                self.record.note(format!(
                    "worker {}: end of {task} run {run} forgotten; it doesn't count as taken note of, since the lease lapsed before",
                    self.id
                ));
            } else {
                self.record.noted(&task, run, &self.id);
            }
        }
        let born = life.born;
        let wait = body.num("wait-ms").unwrap_or(0).clamp(0, 2_000) as u64;
        let until = Instant::now() + Duration::from_millis(wait);
        while life.ended.is_empty() && Instant::now() < until && life.is_up && life.born == born {
            let left = until
                .saturating_duration_since(Instant::now())
                .min(PACE * 4);
            life = self.changed.wait_timeout(life, left).unwrap().0;
            if life.is_up {
                self.settle(&mut life);
            }
        }
        if !life.is_up || life.born != born || self.is_cut() {
            return Reply::Hang;
        }
        let running = life.runs.iter().map(|(task, run)| {
            let percent = match run.course.duration {
                Some(d) => (run.began.elapsed().as_secs_f64() / d.as_secs_f64().max(0.001) * 100.0)
                    .min(99.0) as i64,
                None => 100,
            };
            Json::Arr(vec![
                s(&**task),
                n(run.number),
                s(""),
                n(percent),
                n(run.cpu),
            ])
        });
        let running = Json::Arr(running.collect());
        let ended = life.ended.iter().take(500).map(|(number, task, run, how)| {
            Json::Arr(vec![n(*number), s(&**task), n(*run), s(*how), s("")])
        });
        let ended = Json::Arr(ended.collect());
        Reply::Answer(
            200,
            obj([
                ("clock-ms", n(life.clock())),
                ("born", n(life.born)),
                ("running", running),
                ("ended", ended),
            ]),
        )
    }

    /// Returns whether nothing runs on the worker.
    pub fn is_idle(&self) -> bool {
        self.life.lock().unwrap().runs.is_empty()
    }

    /// Returns the worker's row in the list of machines.
    pub fn listed(&self) -> Json {
        let life = self.life.lock().unwrap();
        obj([
            ("machine", s(&*self.machine)),
            ("pool", s(&*self.service)),
            ("state", s(if life.is_up { "up" } else { "down" })),
            ("zone", s("dsm-kariakoo")),
            ("labels", Json::Arr(life.labels.iter().map(s).collect())),
            (
                "capacity",
                obj([("cpu", n(self.cpu)), ("mem-mb", n(128_000)), ("gpu", n(0))]),
            ),
            ("id", s(&*self.id)),
        ])
    }
}
