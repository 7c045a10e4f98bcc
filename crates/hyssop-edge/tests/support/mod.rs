//! Edge processes connected to a stand-in for the platform, on loopback ports chosen by the system.

// No test binary uses all of these helpers.
#![allow(dead_code, unreachable_pub)]

pub mod caller;
pub mod crowd;
pub mod flood;
pub mod proxy;

use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The timeout of conditions and calls; a condition not met by then fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The host of all requests: the client library sends the address that it connects to.
pub const HOST: &str = "127.0.0.1";

/// An edge process, killed on drop.
pub struct Edge {
    /// The address for callers.
    pub front: String,
    /// The address for readiness probes and metrics.
    pub ready: String,
    /// The address for links from peers.
    pub peers: String,
    child: Child,
    settings: PathBuf,
    /// The lines that the process has logged since its start.
    log: Arc<Mutex<Vec<String>>>,
}

impl Edge {
    /// Starts a process for the node `name` and waits until it listens.
    pub fn start(platform: &Platform, name: &str) -> Self {
        Self::start_with(platform, name, "")
    }

    /// As `start`, with further lines for the section `bounds` of the settings.
    pub fn start_with(platform: &Platform, name: &str, bounds: &str) -> Self {
        Self::start_as(platform, name, "", bounds)
    }

    /// As `start_with`, with the names of the platform's rules that are in force.
    pub fn start_under(platform: &Platform, name: &str, bounds: &str, contracts: &[&str]) -> Self {
        Self::start_as(
            platform,
            name,
            &format!("contracts = {contracts:?}"),
            bounds,
        )
    }

    /// As `start`, with another address of the API for machines.
    pub fn start_with_machines(platform: &Platform, name: &str, machines: SocketAddr) -> Self {
        Self::spawn(&settings_text(platform, name, machines, "", ""))
    }

    /// As `start`, with further lines for the settings outside of sections and for `bounds`.
    pub fn start_as(platform: &Platform, name: &str, general: &str, bounds: &str) -> Self {
        let text = settings_text(platform, name, platform.machines, general, bounds);
        Self::spawn(&text)
    }

    /// Starts a process with these settings and waits until it listens.
    fn spawn(settings: &str) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let file = format!("hyssop-edge-{}-{number}.toml", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings).expect("settings can be written");
        let mut child = Command::new(
            std::env::var("EDGE_BIN").unwrap_or(env!("CARGO_BIN_EXE_hyssop-edge").to_owned()),
        )
        .env("HYSSOPWORKS_BOOT", &path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
        let output = child.stdout.take().expect("a piped output");
        let mut lines = BufReader::new(output).lines();
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("event=start"))
            .expect("the process logs its addresses");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = log.clone();
        // The process would block on a full pipe.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().expect("no reader panics").push(line);
            }
        });
        let field = |name: &str| {
            let found = line.split(' ').find_map(|word| word.strip_prefix(name));
            found.expect("an address").to_owned()
        };
        Self {
            front: field("front="),
            ready: field("ready="),
            peers: field("peers="),
            child,
            settings: path,
            log,
        }
    }

    /// Returns whether the process has logged a line that contains `text`.
    pub fn has_logged(&self, text: &str) -> bool {
        let log = self.log.lock().expect("no writer panics");
        log.iter().any(|line| line.contains(text))
    }

    /// Returns the process's identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, which leaves it no time to release its shards.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Sends SIGTERM, with which the platform stops a process.
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Makes a call with the short timeout of a caller and returns the status, 0 without an answer.
    pub fn call_with_short_timeout(&self, method: &str, path: &str, body: &str) -> i32 {
        /// Longer than the default timeout of a request, and much shorter than [`WAIT_TIMEOUT`].
        const TIMEOUT_S: u64 = 4;
        let method = match method {
            "POST" => minreq::Method::Post,
            _ => minreq::Method::Delete,
        };
        let request = minreq::Request::new(method, format!("http://{}{path}", self.front));
        let request = request.with_body(body).with_timeout(TIMEOUT_S);
        request.send().map_or(0, |response| status(&response))
    }

    /// Waits for the process to exit and returns whether it reported success.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }

    /// Makes a call and returns the status, 0 without an answer, and the body, null unless it is
    /// JSON.
    pub fn call(&self, method: &str, path: &str, body: &str) -> (i32, Value) {
        self.call_with_header(None, method, path, body)
    }

    /// As `call`, with the key of a client account.
    pub fn call_with_key(&self, key: &str, method: &str, path: &str, body: &str) -> (i32, Value) {
        self.call_with_header(Some(&format!("Token {key}")), method, path, body)
    }

    /// As `call_with_key`, and returns whether the response tells when to try again.
    pub fn call_for_retry(&self, key: &str, path: &str, body: &str) -> (i32, bool) {
        let request = minreq::post(format!("http://{}{path}", self.front))
            .with_header("Authorization", format!("Token {key}"))
            .with_body(body)
            .with_timeout(WAIT_TIMEOUT.as_secs());
        request.send().map_or((0, false), |response| {
            let has_retry_after = response.headers.contains_key("retry-after");
            (status(&response), has_retry_after)
        })
    }

    /// Returns the status of the readiness probe, 0 without an answer.
    pub fn probe(&self) -> i32 {
        let request = minreq::get(format!("http://{}/", self.ready));
        let response = request.with_timeout(WAIT_TIMEOUT.as_secs()).send();
        response.map_or(0, |response| status(&response))
    }

    fn call_with_header(
        &self,
        authorization: Option<&str>,
        method: &str,
        path: &str,
        body: &str,
    ) -> (i32, Value) {
        let method = match method {
            "POST" => minreq::Method::Post,
            "DELETE" => minreq::Method::Delete,
            "PUT" => minreq::Method::Put,
            _ => minreq::Method::Get,
        };
        let mut request = minreq::Request::new(method, format!("http://{}{path}", self.front))
            .with_body(body)
            .with_timeout(WAIT_TIMEOUT.as_secs());
        if let Some(authorization) = authorization {
            request = request.with_header("Authorization", authorization);
        }
        match request.send() {
            Ok(response) => {
                let body = serde_json::from_slice(response.as_bytes()).unwrap_or(Value::Null);
                (status(&response), body)
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Returns the value of a metric without labels, or `None` if it can't be read.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.metrics()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Returns whether the process owns any shard.
    pub fn is_owner(&self) -> bool {
        self.owned_shards() > 0
    }

    /// Returns whether the process owns a shard.
    pub fn owns(&self, shard: &str) -> bool {
        let metric = "hyssop_owner_term{";
        let label = format!("\"{shard}\"");
        self.metrics().is_some_and(|text| {
            text.lines()
                .any(|line| line.starts_with(metric) && line.contains(&label))
        })
    }

    /// Returns the lines that the process has logged and that `is_wanted` accepts.
    pub fn lines(&self, is_wanted: impl Fn(&String) -> bool) -> Vec<String> {
        let log = self.log.lock().expect("no writer panics");
        log.iter().filter(|line| is_wanted(line)).cloned().collect()
    }

    /// Returns how many shards the process owns, 0 if its metrics can't be read.
    pub fn owned_shards(&self) -> usize {
        self.metrics().map_or(0, |text| {
            let is_term = |line: &&str| line.starts_with("hyssop_owner_term{");
            text.lines().filter(is_term).count()
        })
    }

    fn metrics(&self) -> Option<String> {
        let url = format!("http://{}/metrics", self.ready);
        let response = minreq::get(url).with_timeout(WAIT_TIMEOUT.as_secs()).send();
        Some(response.ok()?.as_str().ok()?.to_owned())
    }

    /// Submits a job again and again until it is accepted.
    pub fn submit_until_accepted(&self, path: &str, body: &Value) {
        wait_until("the job is accepted", || {
            self.call("POST", path, &body.to_string()).0 == 200
        });
    }

    /// Returns a job's state, empty if the call fails.
    pub fn state(&self, path: &str) -> String {
        let (_, body) = self.call("GET", path, "");
        body["state"].as_str().unwrap_or("").to_owned()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // The process may have exited already; the errors of its clean-up do not matter.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns the status of a response, 0 if the connection ended before the status line, which the
/// client library reports as 503.
pub fn status(response: &minreq::Response) -> i32 {
    const NO_STATUS_LINE: &str = "Server did not provide a status line";
    if response.reason_phrase == NO_STATUS_LINE {
        return 0;
    }
    response.status_code
}

/// Waits until `condition` is met; `what` describes it in the message of a failure.
///
/// # Panics
///
/// Panics if the condition is not met within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a platform with two pools, a spare pool and a configuration.
pub fn platform() -> Platform {
    let platform = Platform::start(&Shape {
        pools: vec![
            ("alpha".to_owned(), 3),
            ("beta".to_owned(), 2),
            ("spare".to_owned(), 2),
        ],
        spare: Some("spare".to_owned()),
    });
    configure(&platform, 1, &[("/a/", "alpha"), ("/b/", "beta")]);
    platform
}

/// Writes a configuration with a queue for each route, a path prefix and its pool.
pub fn configure(platform: &Platform, version: u64, routes: &[(&str, &str)]) {
    platform.write_operator_row("config", &configuration(version, routes));
}

/// As `configure`, with accounts.
pub fn configure_accounts(
    platform: &Platform,
    version: u64,
    routes: &[(&str, &str)],
    accounts: Option<Value>,
) {
    let mut value = configuration(version, routes);
    if let Some(accounts) = accounts {
        value["tenants"] = accounts;
    }
    platform.write_operator_row("config", &value);
}

/// Writes a configuration with one queue and this limit on bodies.
pub fn configure_body_limit(platform: &Platform, version: u64, max_body_bytes: usize) {
    let mut value = configuration(version, &[("/a/", "alpha")]);
    value["limits"]["max-body-bytes"] = json!(max_body_bytes);
    platform.write_operator_row("config", &value);
}

/// Returns a configuration with a queue for each route, a path prefix and its pool.
pub fn configuration(version: u64, routes: &[(&str, &str)]) -> Value {
    let route = |(prefix, pool): &(&str, &str)| {
        json!({
            "name": format!("r{}", prefix.replace('/', "")), "hostname": HOST,
            "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 3000, "priority": 0,
            "target-latency-ms": 600, "service": pool, "max-attempts": 2, "stretch": 1.6,
        })
    };
    let routes: Vec<Value> = routes.iter().map(route).collect();
    json!({
        "version": version, "routes": routes, "limits": { "max-body-bytes": 65_536 },
        "services": [
            { "name": "alpha", "rejects-overload": true },
            { "name": "beta", "rejects-overload": true },
            { "name": "spare", "rejects-overload": true, "spare": true },
        ],
    })
}

/// Announces wave 1, which may have at most `cap` of the machines down at once.
pub fn announce_wave(platform: &Platform, machines: &[String], duration_s: u64, cap: u32) {
    let wave = json!({ "wave": 1, "machines": machines, "duration-s": duration_s, "cap": cap });
    platform.write_operator_row("wave/1", &wave);
}

/// Waits until the published state of wave 1 is `state`.
pub fn wait_for_wave(platform: &Platform, state: &str) {
    wait_until(&format!("the wave is {state}"), || {
        platform
            .status("wave/1")
            .is_some_and(|row| row["state"] == state)
    });
}

/// Returns a job of `steps` steps, each of `count` tasks that take `ms` milliseconds; each step
/// depends on the one before it.
pub fn job(steps: usize, count: u32, ms: u64) -> Value {
    let step = |number: usize| {
        let after: Vec<usize> = (number > 0).then(|| number - 1).into_iter().collect();
        json!({ "count": count, "cpu": 500, "mem-mb": 16, "estimated-ms": ms, "after": after })
    };
    let steps: Vec<Value> = (0..steps).map(step).collect();
    json!({ "specification": ms.to_string(), "steps": steps })
}

/// Returns the settings file of a process.
fn settings_text(
    platform: &Platform,
    name: &str,
    machines: SocketAddr,
    general: &str,
    bounds: &str,
) -> String {
    format!(
        r#"
node-name = "{name}"
ip = "127.0.0.1"
zone = "zone-a"
internal-port-range = [0, 0]
orders = "call"
advice = "{}"
{general}
[listen-addresses]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[bounds]
grace-period-s = 3
{bounds}
[platform]
address = "{}"
[cloud-api]
address = "{}"
"#,
        platform.advice,
        platform.store_for(name),
        machines
    )
}
