//! The platform's store of rows, with the limits of the settings, and one gate for each machine.

use crate::http::{serve, Reply, Request};
use crate::json::{decoded_len, n, obj, s, to_base64, Json};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const ROW_BYTES: usize = 65_536;
const CALL_BYTES: usize = 1_000_000;
const CALL_ENTRIES: usize = 100;
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(6);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<(u64, Key, Option<String>)>,
}

/// What a machine's channel to the store does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gate {
    Open,
    /// Every call is left without an answer and isn't performed.
    Silent,
    /// Every channel is reset.
    Reset,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    origin: Instant,
    gates: Mutex<BTreeMap<String, Gate>>,
    record: Arc<Record>,
    /// Called with the machine and the entries written by each transaction that was performed,
    /// before its answer is sent.
    #[allow(clippy::type_complexity)]
    pub on_performed: Mutex<Option<Box<dyn Fn(&Store, &str, &[Key]) + Send>>>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            origin: Instant::now(),
            gates: Mutex::default(),
            record,
            on_performed: Mutex::new(None),
        })
    }

    /// Opens a way to the store for one machine.
    pub fn open_for(self: &Arc<Self>, machine: &str) -> SocketAddr {
        self.set_gate(machine, Gate::Open);
        let store = self.clone();
        let machine = machine.to_owned();
        serve(Arc::new(move |request| store.handle(&machine, request)))
    }

    pub fn set_gate(&self, machine: &str, gate: Gate) {
        self.gates.lock().unwrap().insert(machine.to_owned(), gate);
        self.changed.notify_all();
    }

    pub fn set_all_gates(&self, gate: Gate) {
        self.gates
            .lock()
            .unwrap()
            .values_mut()
            .for_each(|g| *g = gate);
        self.changed.notify_all();
    }

    fn gate(&self, machine: &str) -> Gate {
        self.gates.lock().unwrap()[machine]
    }

    /// Writes a row as the operator or a worker does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let value = value.map(|value| to_base64(value.text().as_bytes()));
        rows.apply((table.to_owned(), String::new(), key.to_owned()), value);
        self.changed.notify_all();
    }

    fn handle(&self, machine: &str, request: &Request) -> Reply {
        match self.gate(machine) {
            Gate::Open => {}
            Gate::Silent => return Reply::Hang,
            Gate::Reset => return Reply::Close,
        }
        let (status, body) = match request.path.as_str() {
            "/rows-tx" => self.transact(machine, request),
            "/rows-get" => self.range(request),
            "/rows-feed" => match self.feed(machine, request) {
                Some(answer) => answer,
                None => return Reply::Hang,
            },
            _ => (404, obj([])),
        };
        // A machine that was cut off meanwhile gets no answer.
        match self.gate(machine) {
            Gate::Open => Reply::Answer(status, body),
            Gate::Reset => Reply::Close,
            Gate::Silent => Reply::Hang,
        }
    }

    fn now_ms(&self) -> Json {
        n(self.origin.elapsed().as_millis() as i64)
    }

    fn transact(&self, machine: &str, request: &Request) -> (u16, Json) {
        sleep(TRANSACTION);
        let body = &request.body;
        let (expected, writes, removes) = (
            body.list("expected-revision"),
            body.list("writes"),
            body.list("remove"),
        );
        let entries = expected.len() + writes.len() + removes.len();
        let largest = writes
            .iter()
            .map(|row| decoded_len(&row.str("value")))
            .max()
            .unwrap_or(0);
        if entries > CALL_ENTRIES || request.bytes > CALL_BYTES || largest > ROW_BYTES {
            self.record.note(format!(
                "store: {machine} transaction answered 400: entries={entries} bytes={} largest-value={largest} row-bytes={ROW_BYTES}",
                request.bytes
            ));
            return (
                400,
                obj([("error", s("over the limits of a call or a row"))]),
            );
        }
        if largest > ROW_BYTES / 4 {
            self.record.note(format!(
                "store: {machine} writes a row of {largest} bytes; row-bytes={ROW_BYTES}"
            ));
        }
        let mut rows = self.rows.lock().unwrap();
        let fits = expected.iter().all(|row| {
            let version = rows
                .rows
                .get(&key_of(row))
                .map_or(0, |(version, _)| *version);
            row.num("row-version") == Some(version as i64)
        });
        if !fits {
            let current: Vec<Json> = expected
                .iter()
                .filter_map(|row| rows.row(&key_of(row)))
                .collect();
            let version = rows.version;
            return (
                412,
                obj([
                    ("rows", Json::Arr(current)),
                    ("row-version", n(version as i64)),
                    ("now-ms", self.now_ms()),
                ]),
            );
        }
        rows.version += 1;
        let mut written = Vec::new();
        for row in &writes {
            let key = key_of(row);
            if key.0 == "op" || key.0 == "servers" {
                return (403, obj([]));
            }
            written.push(key.clone());
            rows.apply(key, Some(row.str("value")));
        }
        for row in &removes {
            rows.apply(key_of(row), None);
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        if let Some(hook) = &*self.on_performed.lock().unwrap() {
            hook(self, machine, &written);
        }
        (
            200,
            obj([
                ("row-version", n(version as i64)),
                ("now-ms", self.now_ms()),
            ]),
        )
    }

    fn range(&self, request: &Request) -> (u16, Json) {
        sleep(ANSWER);
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request
            .parameter("limit")
            .parse()
            .unwrap_or(500_usize)
            .min(500);
        let rows = self.rows.lock().unwrap();
        let keys: Vec<Key> = rows
            .rows
            .keys()
            .filter(|key| {
                key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
            })
            .cloned()
            .collect();
        let found: Vec<Json> = keys
            .iter()
            .take(limit)
            .filter_map(|key| rows.row(key))
            .collect();
        let body = obj([
            ("rows", Json::Arr(found)),
            ("has-more", Json::Bool(keys.len() > limit)),
            ("row-version", n(rows.version as i64)),
            ("now-ms", self.now_ms()),
        ]);
        (200, body)
    }

    fn feed(&self, machine: &str, request: &Request) -> Option<(u16, Json)> {
        sleep(ANSWER);
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request
            .parameter("wait-ms")
            .parse()
            .unwrap_or(0_u64)
            .min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            if self.gate(machine) != Gate::Open {
                return None;
            }
            let changes: Vec<Json> = rows
                .history
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| change(*version, key, value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let body = obj([
                    ("rows", Json::Arr(changes)),
                    ("row-version", n(rows.version as i64)),
                    ("now-ms", self.now_ms()),
                ]);
                return Some((200, body));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn key_of(row: &Json) -> Key {
    (row.str("table"), row.str("part"), row.str("key"))
}

fn change(version: u64, key: &Key, value: Option<&str>) -> Json {
    let mut fields = BTreeMap::from([
        ("table".to_owned(), s(&*key.0)),
        ("part".to_owned(), s(&*key.1)),
        ("key".to_owned(), s(&*key.2)),
        ("row-version".to_owned(), n(version as i64)),
    ]);
    match value {
        Some(value) => fields.insert("value".to_owned(), s(value)),
        None => fields.insert("removed".to_owned(), Json::Bool(true)),
    };
    Json::Obj(fields)
}

impl Rows {
    fn apply(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (self.version, value.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((self.version, key, value));
    }
    fn row(&self, key: &Key) -> Option<Json> {
        let (version, value) = self.rows.get(key)?;
        Some(change(*version, key, Some(value)))
    }
}
