use super::callers::Callers;
use super::fault::Fault;
use super::plan::WORKERS_PER_POOL;
use crate::support::{configuration, Edge};
use platform_standin::{Access, AdviceShape, Platform, Shape};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The table of the shards' owners.
const OWNERS: &str = "owner";
/// The pool that requires tickets of the advice service, if any does, and how the service answers. Tickets
/// are valid for less time than the service takes for a burst.
const ADVISED_POOL: &str = "alpha";
const DECISION: Duration = Duration::from_millis(100);
const EACH: Duration = Duration::from_millis(5);
const VALIDITY: Duration = Duration::from_millis(1_200);
/// All shards: the pools and the fleet.
const SHARDS: [&str; 3] = ["alpha", "beta", "fleet/"];

/// What the store has seen of owners.
#[derive(Default)]
struct Ownerships {
    /// The process that was written as owner last, by shard.
    owners: BTreeMap<String, String>,
    /// Whether the store falls silent for all once an owner was written.
    is_armed: bool,
    /// Whether other faults that end open no process's way to the store.
    is_held: bool,
}

const EVENTS: [&str; 5] = [
    "event=taken-over",
    "event=owner-started",
    "event=recovered",
    "event=workers-unreported",
    "event=owner-deposed",
];

/// The processes and the platform of one seed.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    /// Processes by number; `None` while one is killed.
    edges: Vec<Option<Edge>>,
    machines: Vec<String>,
    ownerships: Arc<Mutex<Ownerships>>,
    /// What processes that were killed had logged.
    ended_logs: Vec<(usize, Vec<String>)>,
}

impl Cluster {
    /// Starts the platform and its processes.
    pub(crate) fn start(process_count: usize, has_advice: bool) -> Self {
        let platform = Platform::start(&Shape {
            pools: ["alpha", "beta"]
                .map(|pool| (pool.to_owned(), WORKERS_PER_POOL))
                .to_vec(),
            spare: None,
        });
        let mut value = configuration(1, &[("/a/", "alpha"), ("/b/", "beta")]);
        if has_advice {
            value["routes"][0]["advice"] = json!({
                "decision-ms": DECISION.as_millis() as u64, "each-ms": EACH.as_millis() as u64,
                "valid-ms": VALIDITY.as_millis() as u64,
            });
            platform.require_advice(AdviceShape {
                pools: vec![ADVISED_POOL.to_owned()],
                decision: DECISION,
                each: EACH,
                validity: VALIDITY,
            });
        }
        platform.write_operator_row("config", &value);
        let ownerships: Arc<Mutex<Ownerships>> = Arc::default();
        let seen = ownerships.clone();
        platform.set_trigger(move |doors, call| {
            let is_written = |shard: &&&str| call.is_performed && call.concerns(OWNERS, shard);
            if let Some(shard) = SHARDS.iter().find(is_written) {
                let mut seen = seen.lock().expect("no trigger panics");
                let (shard, process) = ((*shard).to_owned(), call.process.clone());
                seen.owners.insert(shard, process);
                if std::mem::take(&mut seen.is_armed) {
                    doors.set_all(Access::Silent);
                }
            }
        });
        let edges = (0..process_count)
            .map(|number| Some(Edge::start(&platform, &format!("e{number}"))))
            .collect();
        let machines = platform.pools().into_keys().collect();
        Self {
            platform,
            edges,
            machines,
            ownerships,
            ended_logs: Vec::new(),
        }
    }

    /// Returns the callers' address of a process, or of the next that has one.
    pub(crate) fn front(&self, number: usize) -> Option<String> {
        let count = self.edges.len();
        let mut edges =
            (0..count).filter_map(|after| self.edges[(number + after) % count].as_ref());
        edges.next().map(|edge| edge.front.clone())
    }

    /// Applies one step.
    pub(crate) fn apply(&mut self, fault: &Fault, callers: &mut Callers) {
        let platform = &self.platform;
        match fault {
            Fault::Store(_, Access::Open) if self.is_held() => {}
            Fault::Store(Some(process), access) => {
                platform.set_access(&format!("e{process}"), *access);
            }
            Fault::Store(None, access) => platform.set_access_of_all(*access),
            Fault::FailOver(pool) => {
                let mut ownerships = self.ownerships.lock().expect("no trigger panics");
                ownerships.is_armed = true;
                ownerships.is_held = true;
                if let Some(owner) = ownerships.owners.get(*pool) {
                    platform.set_access(owner, Access::Silent);
                }
            }
            Fault::Reopen(pool) => {
                let mut ownerships = self.ownerships.lock().expect("no trigger panics");
                ownerships.is_armed = false;
                ownerships.is_held = false;
                if let Some(owner) = ownerships.owners.get(*pool) {
                    platform.set_access(owner, Access::Open);
                }
            }
            Fault::EndAll => self.end_faults(),
            Fault::Forget => platform.forget_history(),
            Fault::Silence(service) => platform.silence_open_connections(*service),
            Fault::Kill(process) => self.end(*process),
            Fault::Restart(process) => self.restart(*process),
            Fault::Terminate(process) => self.signal(*process, "TERM"),
            Fault::Freeze(process) => self.signal(*process, "STOP"),
            Fault::Thaw(process) => self.signal(*process, "CONT"),
            Fault::CutOff(worker) => platform.cut_off_worker(&self.machines[*worker]),
            Fault::Reconnect(worker) => platform.reconnect_worker(&self.machines[*worker]),
            Fault::Replace(worker, kind) => {
                platform.replace_worker(&self.machines[*worker], &[kind, "r-9"]);
            }
            Fault::Expire => self.machines.iter().for_each(|m| platform.remove_entry(m)),
            Fault::Restore(worker) => platform.restore_entry(&self.machines[*worker]),
            Fault::Submit(kind, process) => callers.submit(self, *kind, *process),
            Fault::Burst(process) => callers.submit_burst(self, *process),
            Fault::CancelInTime(process) => callers.cancel_in_time(self, *process),
            Fault::Cancel(back, process) => callers.cancel(self, *back, *process),
        }
    }

    /// Ends all faults.
    pub(crate) fn end_faults(&mut self) {
        self.disarm();
        self.platform.set_access_of_all(Access::Open);
        for machine in &self.machines {
            self.platform.reconnect_worker(machine);
        }
        for process in 0..self.edges.len() {
            self.signal(process, "CONT");
            if self.edges[process].is_none() {
                self.restart(process);
            }
        }
    }

    fn is_held(&self) -> bool {
        self.ownerships.lock().expect("no trigger panics").is_held
    }

    /// Lets the store answer when the next owner is written.
    fn disarm(&self) {
        let mut ownerships = self.ownerships.lock().expect("no trigger panics");
        ownerships.is_armed = false;
    }

    fn restart(&mut self, process: usize) {
        // Before the new one starts, the former must have ended.
        self.end(process);
        self.edges[process] = Some(Edge::start(&self.platform, &format!("e{process}")));
    }

    /// Kills a process, unless it has ended.
    fn end(&mut self, process: usize) {
        if let Some(mut edge) = self.edges[process].take() {
            edge.kill();
            self.ended_logs.push((process, edge.lines(|_| true)));
        }
    }

    fn signal(&self, process: usize, name: &str) {
        if let Some(edge) = &self.edges[process] {
            edge.signal(name);
        }
    }

    /// Returns what all processes have logged, with their numbers.
    fn logs(&self) -> Vec<(usize, Vec<String>)> {
        let mut logs = self.ended_logs.clone();
        for (number, edge) in self.edges.iter().enumerate() {
            logs.extend(edge.iter().map(|edge| (number, edge.lines(|_| true))));
        }
        logs
    }

    /// Returns how long the failovers took, in milliseconds, until their new owners knew
    /// of them.
    pub(crate) fn failover_times(&self) -> Vec<u64> {
        let logs = self.logs().into_iter();
        let lines = logs.flat_map(|(_, lines)| lines);
        let taken_over = lines.filter(|line| line.contains("event=taken-over"));
        let time = |line: String| line.rsplit_once("after_ms=")?.1.parse().ok();
        taken_over.filter_map(time).collect()
    }

    /// Returns the lines on failovers, and on jobs with these identifiers, that all processes have
    /// logged.
    pub(crate) fn log(&self, ids: &[&str]) -> Vec<String> {
        let is_wanted = |line: &String| {
            let mut texts = EVENTS.iter().chain(ids);
            texts.any(|text| line.contains(text))
        };
        let lines_of = |(number, lines): (usize, Vec<String>)| {
            let wanted = lines.into_iter().filter(is_wanted);
            let named = wanted.map(|line| format!("e{number}: {line}"));
            named.collect::<Vec<_>>()
        };
        self.logs().into_iter().flat_map(lines_of).collect()
    }
}
