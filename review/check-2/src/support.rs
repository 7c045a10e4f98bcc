//! Processes, callers and the record that all cases share.

use platform_standin::{Platform, Run};
use serde_json::{json, Value};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The host of all callers' requests.
pub const HOST: &str = "pule25.example";
/// The time that callers give a request (X-Hyssopworks-Deadline-Ms).
pub const DEADLINE_MS: u64 = 3_000;
/// `config-apply-ms` of the settings.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    origin: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            file: Mutex::new(file),
            origin: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.origin.elapsed().as_millis();
        let line = format!("{:>7}.{:03} {text}\n", ms / 1_000, ms % 1_000);
        let mut file = self.file.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// The processes that were started, by their ids, and their settings files.
static STARTED: Mutex<Vec<(u32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends a case that could not run, and all processes that it started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
    for (id, settings) in started.iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
        let _ = std::fs::remove_file(settings);
    }
    exit(2)
}

/// One process of the system, killed on drop.
pub struct Edge {
    pub name: String,
    pub front: String,
    pub ready: String,
    child: Child,
    settings: PathBuf,
}

impl Edge {
    /// Starts the command of the deploy file for a node, on a loopback address of its own.
    pub fn start(platform: &Platform, number: usize) -> Self {
        let name = format!("edge-zone-a-{number}");
        let ip = format!("127.0.1.{number}");
        let file = format!("hyssop-review-2-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = settings_text(platform, &name, &ip);
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("settings: {error}"));
        }
        let child = Command::new("target/release/hyssop-edge")
            .env_clear()
            .env("HYSSOPWORKS_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let mut child = child.unwrap_or_else(|error| cannot_run(&format!("hyssop-edge: {error}")));
        let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
        started.push((child.id(), settings.clone()));
        drop(started);
        let output = child.stdout.take().expect("a piped output");
        let mut lines = BufReader::new(output).lines();
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("event=start"));
        let Some(line) = line else {
            cannot_run("the process does not log its addresses");
        };
        let log = std::env::var("EDGE_LOG").ok();
        let log_name = name.clone();
        std::thread::spawn(move || {
            let mut log = log.and_then(|path| File::create(format!("{path}-{log_name}.log")).ok());
            for line in lines.map_while(Result::ok) {
                if let Some(log) = &mut log {
                    let _ = writeln!(log, "{line}");
                }
            }
        });
        let field = |name: &str| {
            let found = line.split(' ').find_map(|word| word.strip_prefix(name));
            found.unwrap_or_default().to_owned()
        };
        Self {
            front: field("front="),
            ready: field("ready="),
            name,
            child,
            settings,
        }
    }

    /// Returns the status of the readiness probe, 0 without an answer.
    pub fn readiness(&self) -> u16 {
        http(&self.ready, "GET", "/readiness", "", Duration::from_secs(2))
            .map_or(0, |(status, _)| status)
    }

    /// Returns whether the process owns a shard, as its metrics tell.
    pub fn owns(&self, shard: &str) -> bool {
        let answer = http(&self.ready, "GET", "/metrics", "", Duration::from_secs(2));
        let text = answer.map_or(String::new(), |(_, text)| text);
        text.lines().any(|line| {
            line.starts_with("hyssop_owner_term{") && line.contains(&format!("\"{shard}\""))
        })
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
    }

    /// Makes a caller's call; returns the status, 0 without an answer, and the body.
    pub fn call(&self, record: &Record, method: &str, path: &str, body: &str) -> (u16, Value) {
        let timeout = Duration::from_millis(DEADLINE_MS);
        let answer = http(&self.front, method, path, body, timeout);
        let (status, text) = answer.unwrap_or((0, String::new()));
        record.line(&format!(
            "{method} {path} at {}: {status} {text}",
            self.name
        ));
        (status, serde_json::from_str(&text).unwrap_or(Value::Null))
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
        started.retain(|(id, _)| *id != self.child.id());
        drop(started);
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Sends one request on a connection of its own; returns `None` without a complete answer in time.
fn http(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + timeout;
    let target = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&target, timeout).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\
         X-Hyssopworks-Deadline-Ms: {}\r\n\r\n",
        body.len(),
        timeout.as_millis()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// Hands a job in once, without a line in the record.
pub fn post(address: &str, path: &str, body: &str) -> u16 {
    let timeout = Duration::from_millis(DEADLINE_MS);
    http(address, "POST", path, body, timeout).map_or(0, |(status, _)| status)
}

/// The settings of a process, as in the pages' example.
fn settings_text(platform: &Platform, name: &str, ip: &str) -> String {
    format!(
        r#"
node-name = "{name}"
role = "edge"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal-port-range = [0, 0]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-interval-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[listen-addresses]
front = "{ip}:0"
ready = "{ip}:0"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
[bounds]
config-apply-ms = 2000
grace-period-s = 6
contact-window-ms = 3000
hold-max-ms = 6000
gang-ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
lease-duration-ms = 3000
[platform]
address = "{}"
form = "table"
row-bytes = 65536
[cloud-api]
address = "{}"
"#,
        platform.store_for(name),
        platform.machines
    )
}

/// A route of a configuration: its name, path prefix and service.
pub type Route<'a> = (&'a str, &'a str, &'a str);

/// Writes a configuration, whose confirmation is the return of this function.
pub fn configure(
    record: &Record,
    platform: &Platform,
    version: u64,
    routes: &[Route<'_>],
    services: &[&str],
) {
    let route = |(name, prefix, service): &Route<'_>| {
        json!({
            "name": name, "hostname": HOST, "path-prefix": prefix, "kind": "unsafe",
            "timeout-ms": 3000, "priority": 0, "target-latency-ms": 600, "service": service,
            "max-attempts": 2, "stretch": 1.6,
        })
    };
    let services: Vec<Value> = services
        .iter()
        .map(|name| json!({ "name": name, "rejects-overload": true }))
        .collect();
    let value = json!({
        "version": version, "limits": { "max-body-bytes": 262_144 }, "services": services,
        "routes": routes.iter().map(route).collect::<Vec<Value>>(),
    });
    platform.write_operator_row("config", &value);
    let shown: Vec<String> = routes
        .iter()
        .map(|(name, prefix, service)| format!("{name}: {prefix} -> {service}"))
        .collect();
    record.line(&format!("config {version} confirmed: {}", shown.join(", ")));
}

/// Waits until `condition` is met; ends the case as one that could not run if it isn't in time.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        if started_at.elapsed() > limit {
            cannot_run(&format!("timed out waiting until {what}"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Starts processes and waits until all are ready.
pub fn start_edges(record: &Record, platform: &Platform, count: usize) -> Vec<Edge> {
    let edges: Vec<Edge> = (1..=count)
        .map(|number| Edge::start(platform, number))
        .collect();
    wait_until("all processes are ready", Duration::from_secs(20), || {
        edges.iter().all(|edge| edge.readiness() == 200)
    });
    record.line(&format!("{count} processes are ready"));
    edges
}

/// Hands a job in like a client: again until a 2xx answer.
pub fn submit(record: &Record, edges: &[Edge], path: &str, body: &Value) {
    let mut attempt = 0;
    wait_until("a job is accepted", Duration::from_secs(20), || {
        let edge = &edges[attempt % edges.len()];
        attempt += 1;
        edge.call(record, "POST", path, &body.to_string()).0 == 200
    });
}

/// Writes all runs into the record.
pub fn record_runs(record: &Record, runs: &[Run]) {
    for run in runs {
        let ended = run.ended_at.map_or("runs on".to_owned(), |at| {
            format!(
                "{} after {} ms",
                run.outcome,
                (at - run.started_at).as_millis()
            )
        });
        let noted = run
            .acknowledged_at
            .map_or("not taken note of".to_owned(), |at| {
                format!("taken note of at {:.3} s", at.as_secs_f64())
            });
        record.line(&format!(
            "run {} of {} on {} from {:.3} s of the stand-in's clock: {ended}, {noted}",
            run.number,
            run.task,
            run.worker,
            run.started_at.as_secs_f64()
        ));
    }
}

/// Returns what breaks TWICE: two runs of one subtask at the same time, or a start after a run has
/// ended `done` if that end is taken note of.
pub fn twice(runs: &[Run]) -> Vec<String> {
    let mut broken = Vec::new();
    for (number, second) in runs.iter().enumerate() {
        for first in runs[..number]
            .iter()
            .filter(|first| first.task == second.task)
        {
            if first.ended_at.is_none_or(|at| at > second.started_at) {
                broken.push(format!("two runs of {} at the same time", second.task));
            } else if first.outcome == "done" && first.acknowledged_at.is_some() {
                broken.push(format!(
                    "{} starts again after it has ended done",
                    second.task
                ));
            }
        }
    }
    broken
}

/// Ends the case with its verdict. `edges` are ended first.
pub fn verdict(record: &Record, edges: Vec<Edge>, rule: &str, broken: &[String]) -> ! {
    drop(edges);
    for what in broken {
        record.line(&format!("{rule} broken: {what}"));
    }
    if broken.is_empty() {
        record.line(&format!("{rule} held"));
        exit(0)
    }
    exit(1)
}
