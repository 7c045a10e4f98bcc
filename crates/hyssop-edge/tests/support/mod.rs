//! Real processes against the platform's stand-in, on loopback ports of the system's choice.

// Each test file uses its own part of the support.
#![allow(dead_code, unreachable_pub)]

use platform_standin::{Platform, Shape};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Everything that a test waits for comes within this time, or never.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(50);
/// The client library names the host by the address that it connects to.
pub const HOST: &str = "127.0.0.1";

/// Is one edge process; it is killed at the end.
pub struct Edge {
    pub front: String,
    pub ready: String,
    child: Child,
    settings: PathBuf,
}

impl Edge {
    /// Starts a process named `name`.
    pub fn start(platform: &Platform, name: &str) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let file = format!("hyssop-edge-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text(platform, name)).expect("settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hyssop-edge"))
            .env("HYSSOPWORKS_BOOT", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let output = child.stdout.take().expect("its output");
        let mut lines = BufReader::new(output).lines();
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("event=start"))
            .expect("the process says where it listens");
        // The pipe must not fill up.
        std::thread::spawn(move || lines.for_each(drop));
        let field = |name: &str| {
            let found = line.split(' ').find_map(|word| word.strip_prefix(name));
            found.expect("an address").to_owned()
        };
        Self {
            front: field("front="),
            ready: field("ready="),
            child,
            settings,
        }
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Tells the process to stop, as the platform does.
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Sends the process a signal.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Makes a call as a caller does that waits only a few seconds; 0 stands for no answer.
    pub fn call_briefly(&self, method: &str, path: &str, body: &str) -> i32 {
        /// Longer than the process holds a request, and short of the test's patience.
        const SECONDS: u64 = 4;
        let method = match method {
            "POST" => minreq::Method::Post,
            _ => minreq::Method::Delete,
        };
        let request = minreq::Request::new(method, format!("http://{}{path}", self.front));
        let request = request.with_body(body).with_timeout(SECONDS);
        request.send().map_or(0, |response| response.status_code)
    }

    /// Waits for the process to end by itself and returns whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> (i32, Value) {
        let method = match method {
            "POST" => minreq::Method::Post,
            "DELETE" => minreq::Method::Delete,
            "PUT" => minreq::Method::Put,
            _ => minreq::Method::Get,
        };
        let request = minreq::Request::new(method, format!("http://{}{path}", self.front))
            .with_body(body)
            .with_timeout(PATIENCE.as_secs());
        match request.send() {
            Ok(response) => {
                let body = serde_json::from_slice(response.as_bytes()).unwrap_or(Value::Null);
                (response.status_code, body)
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Hands a job in until it is accepted.
    pub fn accept(&self, path: &str, body: &Value) {
        until("the job is accepted", || {
            self.call("POST", path, &body.to_string()).0 == 200
        });
    }

    pub fn state(&self, path: &str) -> String {
        let (_, body) = self.call("GET", path, "");
        body["state"].as_str().unwrap_or("").to_owned()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // A process that has ended already needs no more.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits until `holds`.
///
/// # Panics
///
/// Panics when it never does.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "never seen: {what}");
        std::thread::sleep(LOOK);
    }
}

/// Starts a platform of two pools and a spare, with a configuration.
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

pub fn configure(platform: &Platform, version: u64, routes: &[(&str, &str)]) {
    let route = |(prefix, pool): &(&str, &str)| {
        json!({
            "name": format!("r{}", prefix.replace('/', "")), "hostname": HOST,
            "path-prefix": prefix, "kind": "unsafe", "timeout-ms": 3000, "priority": 0,
            "target-latency-ms": 600, "service": pool, "max-attempts": 2, "stretch": 1.6,
        })
    };
    let routes: Vec<Value> = routes.iter().map(route).collect();
    let value = json!({
        "version": version, "routes": routes, "limits": { "max-body-bytes": 65_536 },
        "services": [
            { "name": "alpha", "rejects-overload": true },
            { "name": "beta", "rejects-overload": true },
            { "name": "spare", "rejects-overload": true, "spare": true },
        ],
    });
    platform.operate("config", &value);
}

pub fn job(steps: usize, count: u32, ms: u64) -> Value {
    let step = |number: usize| {
        let after: Vec<usize> = (number > 0).then(|| number - 1).into_iter().collect();
        json!({ "count": count, "cpu": 500, "mem-mb": 16, "estimated-ms": ms, "after": after })
    };
    let steps: Vec<Value> = (0..steps).map(step).collect();
    json!({ "specification": ms.to_string(), "steps": steps })
}

fn text(platform: &Platform, name: &str) -> String {
    format!(
        r#"
node-name = "{name}"
ip = "127.0.0.1"
zone = "zone-a"
internal-port-range = [0, 0]
orders = "call"
[listen-addresses]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[bounds]
grace-period-s = 3
[platform]
address = "{}"
[cloud-api]
address = "{}"
"#,
        platform.store, platform.machines
    )
}
