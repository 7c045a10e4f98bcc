//! Edge processes, started as the deploy file says.

use crate::record::Record;
use crate::wire;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What a process is told of its surroundings.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub machines: SocketAddr,
    pub advice: Option<SocketAddr>,
    pub cpu_share: f64,
}

/// One process, killed on drop.
pub struct Edge {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Edge {
    /// Starts `target/release/hyssop-edge` from the repository's root and waits until it listens.
    pub fn start(root: &Path, temporary: &Path, place: &Place, record: &Record) -> Option<Self> {
        let settings: PathBuf = temporary.join(format!("{}.toml", place.name));
        std::fs::write(&settings, settings_text(place)).ok()?;
        let mut child = Command::new("target/release/hyssop-edge")
            .current_dir(root)
            .env("HYSSOPWORKS_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .ok()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let mut found = lines.by_ref().map_while(Result::ok);
        let Some(line) = found.find(|line| line.contains("event=start")) else {
            let _ = child.kill();
            let _ = child.wait();
            return None;
        };
        let (name, noted) = (place.name.clone(), record.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if is_notable(&line) {
                    noted.note(&format!("{name} logs: {line}"));
                }
            }
        });
        let field = |name: &str| -> Option<SocketAddr> {
            let mut words = line.split(' ');
            words.find_map(|word| word.strip_prefix(name))?.parse().ok()
        };
        let (front, ready) = (field("front=")?, field("ready=")?);
        record.note(&format!("{} started", place.name));
        Some(Self {
            front,
            ready,
            child,
        })
    }

    /// Returns whether the process owns a shard by its metrics.
    pub fn owns(&self, shard: &str) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = wire::call(self.ready, "GET", "/metrics", &[], "", timeout);
        answer.is_some_and(|answer| {
            let text = answer.text();
            let label = format!("\"{shard}\"");
            text.lines()
                .any(|line| line.starts_with("hyssop_owner_term{") && line.contains(&label))
        })
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        // Also ends a stopped process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn is_notable(line: &str) -> bool {
    const EVENTS: [&str; 8] = [
        "event=taken-over",
        "event=holder-",
        "event=transfer",
        "event=owner-deposed",
        "event=wave-reported",
        "event=dependency-",
        "event=run-conflict",
        "event=recovered ",
    ];
    EVENTS.iter().any(|event| line.contains(event))
}

/// Waits until `condition` is met, at most for `limit`; returns whether it was.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

fn settings_text(place: &Place) -> String {
    let Place {
        name,
        zone,
        store,
        machines,
        advice,
        cpu_share,
    } = place;
    let advice = advice.map_or_else(String::new, |address| format!("advice = \"{address}\""));
    format!(
        r#"node-name = "{name}"
role = "edge"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "punjab"
internal-port-range = [0, 0]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat-interval-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
{advice}
[zones]
lahore-a = "punjab"
lahore-b = "punjab"
gujranwala = "punjab"
[listen-addresses]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[limits]
cpu-share = {cpu_share}
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
hold-max-ms = 10000
stop-ms = 900
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice-ms = 4500
move-s = 1.5
maintenance-s = 2
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
duty-per-s = 64.0
"#
    )
}
