//! A small deployment: the system's own processes, the store, workers, machines and clients.

use crate::http::{call, serve, Reply};
use crate::json::{n, obj, s, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Script, Shape, Worker};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/hyssop-edge";
pub const HOST: &str = "pule25.example";
const CALL: Duration = Duration::from_millis(3_000);
const BOOT: Duration = Duration::from_secs(15);

pub struct Edge {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub edges: Vec<Edge>,
    needs: Arc<Mutex<BTreeMap<String, i64>>>,
    folder: PathBuf,
}

/// A queue: name, path prefix, service, max-attempts.
pub type Queue<'a> = (&'a str, &'a str, &'a str, u32);

/// The settings and rows that a day of the site kwp-skips has, where a case sets nothing else.
pub fn config(version: u64, queues: &[Queue], services: &[(&str, bool)]) -> Json {
    let routes = queues.iter().map(|(name, prefix, service, attempts)| {
        obj([
            ("name", s(*name)),
            ("hostname", s(HOST)),
            ("path-prefix", s(*prefix)),
            ("service", s(*service)),
            ("kind", s("unsafe")),
            ("timeout-ms", n(3_000)),
            ("target-latency-ms", n(600)),
            ("max-attempts", n(*attempts)),
            ("priority", n(0)),
            ("stretch", Json::Num(1.6)),
        ])
    });
    let services = services.iter().map(|(name, guards)| {
        obj([
            ("name", s(*name)),
            ("rejects-overload", Json::Bool(*guards)),
            ("spare", Json::Bool(false)),
        ])
    });
    obj([
        ("version", n(version as i64)),
        ("routes", Json::Arr(routes.collect())),
        ("services", Json::Arr(services.collect())),
        ("limits", obj([("max-body-bytes", n(262_144))])),
    ])
}

/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(115);

/// The processes that this case has started and not seen end.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process of this case, with the shell's own `kill`.
fn signal(id: u32, name: &str) {
    let command = format!("kill -{name} {id}");
    let _ = Command::new("/bin/sh").args(["-c", &command]).status();
}

/// Ends all processes that this case has started.
fn end_all() {
    if let Ok(started) = STARTED.lock() {
        for id in &*started {
            signal(*id, "KILL");
        }
    }
}

/// Fails the case with exit code 2.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    end_all();
    std::process::exit(2);
}

/// Ends the case if it takes too long or if a thread of it panics.
fn watch() {
    std::panic::set_hook(Box::new(|information| cannot_run(&information.to_string())));
    std::thread::spawn(|| {
        sleep(LONGEST);
        cannot_run("it takes too long");
    });
}

impl Cluster {
    pub fn start(edges: usize, shapes: Vec<Shape>, first: &Json, script: Script) -> Self {
        watch();
        let record = Arc::new(Record::new());
        let store = Store::new(record.clone());
        let needs = Arc::new(Mutex::new(BTreeMap::new()));
        store.put("op", "config", Some(first));
        let workers: Vec<Arc<Worker>> = shapes
            .into_iter()
            .map(|shape| {
                Worker::start(
                    shape,
                    store.clone(),
                    record.clone(),
                    script.clone(),
                    needs.clone(),
                )
            })
            .collect();
        let listed = workers.clone();
        let noted = record.clone();
        let machines = serve(Arc::new(move |request| match request.path.as_str() {
            "/machines" => {
                let rows = listed.iter().map(|worker| worker.listed()).collect();
                Reply::Answer(200, obj([("machines", Json::Arr(rows))]))
            }
            path => {
                // No case moves or maintains a machine.
                noted.note(format!("machines: {path} {} refused", request.body.text()));
                Reply::Answer(409, obj([("reason", s("busy"))]))
            }
        }));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&folder) {
            cannot_run(&format!("no temporary folder: {error}"));
        }
        let mut cluster = Self {
            record,
            store,
            workers,
            edges: Vec::new(),
            needs,
            folder,
        };
        let ports = free_ports(edges * 4);
        for number in 0..edges {
            cluster.add_edge(number, &ports[number * 4..number * 4 + 4], machines);
        }
        cluster
    }

    fn add_edge(&mut self, number: usize, ports: &[u16], machines: SocketAddr) {
        let name = format!("edge-dsm-kariakoo-{}", number + 1);
        let store = self.store.open_for(&name);
        let (front, ready, control, inner) = (ports[0], ports[1], ports[2], ports[3]);
        let text = format!(
            r#"node-name = "{name}"
role = "edge"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "dsm-kariakoo"
region = "dsm"
internal-port-range = [{inner},{inner}]
seeds = []
bootstrap = true
counts-toward-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-interval-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
orders = "call"
advice = ""
[zones]
dsm-kariakoo = "dsm"
[listen-addresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
contact-window-ms = 3000
ack-timeout-ms = 4000
drain-timeout-ms = 2000
grace-period-s = 6
config-apply-ms = 2000
hold-max-ms = 6000
stop-ms = 900
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint-interval-s = 2
restore-ms = 600
notice-ms = 4500
require-fencing = false
lease-duration-ms = 3000
[platform]
address = "{store}"
form = "table"
writes-per-s = 600
reads-per-s = 2000
transaction-ms = 6.0
partition-writes-s = 200
row-bytes = 65536
across = false
history-retention-s = 20
[cloud-api]
address = "{machines}"
rate-per-s = 64.0
duties = []
duty-per-s = 64.0
"#
        );
        let settings = self.folder.join(format!("{name}.toml"));
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("no settings file: {error}"));
        }
        let loopback = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        self.edges.push(Edge {
            log: self.folder.join(format!("{name}.log")),
            name,
            front: loopback(front),
            ready: loopback(ready),
            settings,
            child: None,
        });
        self.boot(number);
    }

    /// Starts the process of a machine.
    pub fn boot(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        let log = File::options().create(true).append(true).open(&edge.log);
        let Ok(log) = log else {
            cannot_run("no log file");
        };
        let errors = log.try_clone().unwrap();
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("HYSSOPWORKS_BOOT", &edge.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                edge.child = Some(child);
            }
            Err(error) => cannot_run(&format!("{PROGRAM}: {error}")),
        }
        self.record.note(format!("{}: process started", edge.name));
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        let mut how = "killed";
        if let Some(child) = &mut edge.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                how = "ended by itself";
            }
            let _ = child.kill();
            let _ = child.wait();
            let id = child.id();
            STARTED.lock().unwrap().retain(|started| *started != id);
        }
        edge.child = None;
        self.record.note(format!("{}: process {how}", edge.name));
    }

    /// Sends SIGTERM to the process of a machine.
    pub fn terminate(&self, number: usize) {
        let edge = &self.edges[number];
        if let Some(child) = &edge.child {
            signal(child.id(), "TERM");
        }
        self.record.note(format!("{}: SIGTERM", edge.name));
    }

    /// Returns whether a machine's process has ended.
    pub fn has_ended(&mut self, number: usize) -> bool {
        match &mut self.edges[number].child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// Waits until every machine is ready and a job of `queue` has run.
    pub fn wait_ready(&self, queue: &str, id: &str) {
        let until = Instant::now() + BOOT;
        for edge in &self.edges {
            while !matches!(
                call(edge.ready, "", "GET", "/readiness", "", CALL),
                Some((200, _))
            ) {
                if Instant::now() > until {
                    cannot_run("a process isn't ready");
                }
                sleep(Duration::from_millis(50));
            }
        }
        let job = job("100", &[step(1, 500, 100)]);
        if !self.submit(0, queue, id, &job) {
            cannot_run("no job is accepted");
        }
        while self.state(0, queue, id) != "done" {
            if Instant::now() > until {
                cannot_run("the first job isn't done");
            }
            sleep(Duration::from_millis(50));
        }
        self.record.note("ready");
    }

    /// Makes a client's call to the front of a machine and records it.
    pub fn call(&self, edge: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let edge = &self.edges[edge];
        let answer = call(edge.front, HOST, method, path, body, CALL);
        let text = match &answer {
            Some((status, body)) => format!("{status} {}", body.text()),
            None => "no answer".to_owned(),
        };
        let sent: String = body.chars().take(160).collect();
        self.record.note(format!(
            "client: {method} {path} at {} {sent} -> {text}",
            edge.name
        ));
        answer
    }

    /// Hands a job in as a client does, with four retries at other machines; returns whether it was
    /// accepted.
    pub fn submit(&self, edge: usize, queue: &str, id: &str, job: &Json) -> bool {
        let steps = job.list("steps");
        for (number, step) in steps.iter().enumerate() {
            let key = format!("{id}.{number}");
            self.needs
                .lock()
                .unwrap()
                .insert(key, step.num("cpu").unwrap_or(0));
        }
        let text = job.text();
        for attempt in 0..5 {
            let at = (edge + attempt) % self.edges.len();
            let status = self
                .call(at, "POST", &format!("{queue}{id}"), &text)
                .map(|(status, _)| status);
            match status {
                Some(200..=299) => return true,
                Some(400..=428) => return false,
                _ => sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Returns a job's state, or the status of an answer that isn't 200.
    pub fn state(&self, edge: usize, queue: &str, id: &str) -> String {
        match self.call(edge, "GET", &format!("{queue}{id}"), "") {
            Some((200, body)) => body.str("state"),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Returns the machine that owns a pool at present, by the lines of the logs.
    pub fn owner(&self, pool: &str) -> Option<usize> {
        let mut newest: Option<(u64, usize)> = None;
        for (number, edge) in self.edges.iter().enumerate() {
            let text = std::fs::read_to_string(&edge.log).unwrap_or_default();
            for line in text
                .lines()
                .filter(|line| line.contains(&format!("event=taken-over part={pool} ")))
            {
                let term = line
                    .split(" term=")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next()?.parse().ok());
                if let Some(term) = term {
                    if newest.is_none_or(|(known, _)| term > known) {
                        newest = Some((term, number));
                    }
                }
            }
        }
        newest.map(|(_, number)| number)
    }

    /// Copies the lines of the processes' logs that contain one of the words into the record.
    pub fn keep_log(&self, words: &[&str]) {
        for edge in &self.edges {
            let text = std::fs::read_to_string(&edge.log).unwrap_or_default();
            for line in text
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)))
            {
                self.record.note(format!("log of {}: {line}", edge.name));
            }
        }
    }

    /// Ends all processes, writes the record and exits.
    pub fn finish(mut self, record_path: &str, broken: Option<String>) -> ! {
        for number in 0..self.edges.len() {
            if let Some(mut child) = self.edges[number].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for edge in &self.edges {
                let _ = std::fs::copy(&edge.log, format!("{folder}/{}.log", edge.name));
            }
        }
        let verdict = match &broken {
            Some(text) => format!("the rule was broken: {text}"),
            None => "the rule held".to_owned(),
        };
        self.record.note(&*verdict);
        println!("{verdict}");
        self.record.write(record_path);
        let _ = std::fs::remove_dir_all(&self.folder);
        std::process::exit(i32::from(broken.is_some()));
    }
}

/// Returns free ports below those that the system gives to outgoing channels.
fn free_ports(count: usize) -> Vec<u16> {
    const FIRST: u32 = 20_000;
    const SPAN: u32 = 11_000;
    let start = std::process::id().wrapping_mul(97);
    let candidates = (0..SPAN).map(|number| (FIRST + start.wrapping_add(number) % SPAN) as u16);
    let ports: Vec<u16> = candidates
        .filter(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok())
        .take(count)
        .collect();
    if ports.len() < count {
        cannot_run("no free ports");
    }
    ports
}

pub fn step(count: u32, cpu: i64, estimated_ms: i64) -> Json {
    obj([
        ("count", n(count)),
        ("cpu", n(cpu)),
        ("mem-mb", n(16)),
        ("estimated-ms", n(estimated_ms)),
    ])
}

/// Adds a field to an object.
pub fn with(object: Json, name: &str, value: Json) -> Json {
    match object {
        Json::Obj(mut map) => {
            map.insert(name.to_owned(), value);
            Json::Obj(map)
        }
        other => other,
    }
}

pub fn job(specification: &str, steps: &[Json]) -> Json {
    obj([
        ("specification", s(specification)),
        ("steps", Json::Arr(steps.to_vec())),
    ])
}
