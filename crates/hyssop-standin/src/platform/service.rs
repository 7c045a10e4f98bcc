use super::{Fault, Faults, History, RateLimiter, Stats, Workers};
use hyssop_platform::fake::Store;
use hyssop_platform::http::{Commit, Keys, Prefix, Rows};
use hyssop_platform::object::Object;
use hyssop_platform::roster::Listing;
use hyssop_platform::table::{Table, Transaction};
use hyssop_platform::Error;
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tiny_http::{Method, Request};

/// The platform's HTTP services and the endpoints by which a test controls them.
pub(crate) struct Service {
    pub(crate) store: Store,
    pub(crate) state: Mutex<State>,
}

/// The mutable state of the stand-in apart from the store.
pub(crate) struct State {
    pub(crate) faults: Faults,
    pub(crate) reads: RateLimiter,
    pub(crate) writes: RateLimiter,
    pub(crate) history: History,
    /// The inspection address of the server stand-in, from which the list of instances is read.
    pub(crate) roster_source: Option<String>,
    /// The process ids of the system's own instances by name.
    pub(crate) process_ids: BTreeMap<String, u32>,
    pub(crate) stats: Stats,
    pub(crate) workers: Workers,
}

/// The status and body of an HTTP response.
pub(crate) struct Reply {
    status: u16,
    body: Vec<u8>,
}

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const THROTTLED: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// The number of scanned rows that are charged as one row read by key.
const ROWS_PER_SCAN_UNIT: usize = 25;

impl Service {
    /// Responds to one request, or closes its connection where the response is to be lost.
    pub(crate) fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        if std::io::Read::read_to_end(request.as_reader(), &mut body).is_err() {
            return;
        }
        let url = request.url().to_owned();
        let method = request.method().clone();
        let Some(reply) = self.handle(&method, &url, &body) else {
            drop(request.into_writer());
            return;
        };
        let response = tiny_http::Response::from_data(reply.body).with_status_code(reply.status);
        // Sending fails if the client has disconnected, which needs no handling.
        let _ = request.respond(response);
    }

    fn handle(&self, method: &Method, url: &str, body: &[u8]) -> Option<Reply> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (Method::Post, ["fault"]) => return Some(self.set_fault(query)),
            (Method::Get, ["stats"]) => return Some(json(OK, &self.state().stats)),
            (Method::Post, ["roster", "source"]) => return Some(self.set_roster_source(query)),
            (Method::Post, ["own", name]) => return Some(self.register_process(name, query)),
            _ => {}
        }
        if let Some(rejection) = self.apply_faults() {
            return Some(rejection);
        }
        match (method, segments.as_slice()) {
            (Method::Post, ["table", "read"]) => Some(self.read(body)),
            (Method::Post, ["table", "scan"]) => Some(self.scan(body)),
            (Method::Post, ["table", "commit"]) => self.commit(body),
            (Method::Put, ["object", name]) => Some(self.put_object(name, body)),
            (Method::Get, ["object", name]) => Some(self.get_object(name)),
            (Method::Get, ["roster"]) => Some(json(OK, &self.state().history.lagging())),
            (Method::Get, ["own"]) => Some(self.live_processes()),
            (Method::Get, ["workers"]) => Some(json(OK, &self.state().workers.list())),
            (Method::Get, ["workers", "usage"]) => Some(json(OK, &self.state().workers.usage())),
            (Method::Get, ["workers", "starts"]) => Some(json(OK, self.state().workers.starts())),
            (Method::Post, ["workers", "start"]) => self.start_task(body),
            (Method::Post, ["workers", name, "fault"]) => {
                let is_failing = query == "kind=fail";
                self.state().workers.set_failing(name, is_failing);
                Some(json(OK, &"set"))
            }
            (Method::Post, ["workers", _, "tasks", task, signal]) => {
                Some(self.signal_task(task, signal))
            }
            (Method::Post, ["roster", name, "reboot"]) => Some(self.reboot(name)),
            _ => Some(json(NOT_FOUND, &"no such path")),
        }
    }

    /// Applies the injected faults: rejects the call while down, delays it while slow.
    fn apply_faults(&self) -> Option<Reply> {
        let is_slow = {
            let mut state = self.state();
            if state.faults.is_set(Fault::Down) {
                state.stats.refused += 1;
                return Some(json(UNAVAILABLE, &"fault down is set"));
            }
            state.faults.is_set(Fault::Slow)
        };
        if is_slow {
            std::thread::sleep(Duration::from_millis(rand::rng().random_range(500..1000)));
        }
        None
    }

    fn read(&self, body: &[u8]) -> Reply {
        let keys: Keys = match parse(body) {
            Ok(keys) => keys,
            Err(rejection) => return rejection,
        };
        if let Some(rejection) = self.charge_reads(keys.keys.len()) {
            return rejection;
        }
        match self.store.read(&keys.keys) {
            Ok(rows) => json(OK, &Rows { rows }),
            Err(error) => unavailable(&error),
        }
    }

    fn scan(&self, body: &[u8]) -> Reply {
        let prefix: Prefix = match parse(body) {
            Ok(prefix) => prefix,
            Err(rejection) => return rejection,
        };
        let rows = match self.store.scan(&prefix.prefix) {
            Ok(rows) => rows,
            Err(error) => return unavailable(&error),
        };
        if let Some(rejection) = self.charge_reads(1 + rows.len() / ROWS_PER_SCAN_UNIT) {
            return rejection;
        }
        let rows = rows.into_iter().map(Some).collect();
        json(OK, &Rows { rows })
    }

    fn commit(&self, body: &[u8]) -> Option<Reply> {
        let transaction: Transaction = match parse(body) {
            Ok(transaction) => transaction,
            Err(rejection) => return Some(rejection),
        };
        let count = transaction.writes.len();
        {
            let mut state = self.state();
            if !state.writes.try_acquire(count) {
                state.stats.throttled += 1;
                return Some(json(THROTTLED, &"the rate limit of row writes is exceeded"));
            }
        }
        let result = self.store.commit(&transaction);
        let mut state = self.state();
        match result {
            Ok(()) => {
                state.stats.commits += 1;
                state.stats.row_writes += count as u64;
                if state.faults.is_set(Fault::Lose) && rand::rng().random_bool(0.5) {
                    state.stats.lost += 1;
                    return None;
                }
                Some(json(OK, &Commit::Done))
            }
            Err(Error::Conflict { key }) => {
                state.stats.conflicts += 1;
                Some(json(CONFLICT, &Commit::Conflict { key }))
            }
            Err(error) => Some(unavailable(&error)),
        }
    }

    fn start_task(&self, body: &[u8]) -> Option<Reply> {
        let start = match parse(body) {
            Ok(start) => start,
            Err(rejection) => return Some(rejection),
        };
        let mut state = self.state();
        let is_accepted = state.workers.start(start);
        if state.faults.is_set(Fault::Lose) && rand::rng().random_bool(0.5) {
            state.stats.lost += 1;
            return None;
        }
        Some(if is_accepted {
            json(OK, &Commit::Done)
        } else {
            let key = "a higher fence was started".to_owned();
            json(CONFLICT, &Commit::Conflict { key })
        })
    }

    fn signal_task(&self, task: &str, signal: &str) -> Reply {
        match signal.parse() {
            Ok(signal) => {
                self.state().workers.signal(task, signal);
                json(OK, &Commit::Done)
            }
            Err(_) => json(BAD_REQUEST, &"unknown signal"),
        }
    }

    fn put_object(&self, name: &str, body: &[u8]) -> Reply {
        match self.store.put(name, &String::from_utf8_lossy(body)) {
            Ok(()) => json(OK, &"stored"),
            Err(error) => unavailable(&error),
        }
    }

    fn get_object(&self, name: &str) -> Reply {
        match self.store.get(name) {
            Ok(Some(body)) => Reply {
                status: OK,
                body: body.into_bytes(),
            },
            Ok(None) => json(NOT_FOUND, &"no such object"),
            Err(error) => unavailable(&error),
        }
    }

    fn reboot(&self, name: &str) -> Reply {
        let source = self.state().roster_source.clone();
        let Some(source) = source else {
            return json(NOT_FOUND, &"no server stand-in is registered");
        };
        let url = format!("http://{source}/instances/{name}/reboot");
        match minreq::post(url).send() {
            Ok(response) if response.status_code == i32::from(OK) => json(OK, &"rebooting"),
            _ => json(
                UNAVAILABLE,
                &"the server stand-in did not accept the reboot",
            ),
        }
    }

    /// Charges row reads to the rate limit and rejects the call when the limit is exceeded.
    fn charge_reads(&self, count: usize) -> Option<Reply> {
        let mut state = self.state();
        if !state.reads.try_acquire(count) {
            state.stats.throttled += 1;
            return Some(json(THROTTLED, &"the rate limit of row reads is exceeded"));
        }
        state.stats.row_reads += count as u64;
        None
    }

    /// Injects or clears a fault: `kind=down|slow|lose&ms=N`, `kind=lag&ms=N` or `kind=none`.
    fn set_fault(&self, query: &str) -> Reply {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let duration = value("ms")
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis);
        let mut state = self.state();
        match (value("kind"), duration) {
            (Some("none"), _) => state.faults.clear(),
            (Some("lag"), Some(duration)) => state.history.set_lag(duration),
            (Some(kind), Some(duration)) => match kind.parse() {
                Ok(fault) => state.faults.set(fault, duration),
                Err(_) => {
                    return json(
                        BAD_REQUEST,
                        &"unknown fault; use down, slow, lose, lag or none",
                    )
                }
            },
            _ => {
                return json(
                    BAD_REQUEST,
                    &"kind or ms is missing or invalid; call /fault?kind=down&ms=5000",
                )
            }
        }
        json(OK, &"set")
    }

    fn set_roster_source(&self, query: &str) -> Reply {
        match query.strip_prefix("address=") {
            Some(address) => {
                self.state().roster_source = Some(address.to_owned());
                json(OK, &"registered")
            }
            None => json(
                BAD_REQUEST,
                &"address is missing; call /roster/source?address=IP:PORT",
            ),
        }
    }

    /// Records the process id of one of the system's own instances: `pid=N`.
    fn register_process(&self, name: &str, query: &str) -> Reply {
        match query.strip_prefix("pid=").and_then(|pid| pid.parse().ok()) {
            Some(pid) => {
                self.state().process_ids.insert(name.to_owned(), pid);
                json(OK, &"noted")
            }
            None => json(
                BAD_REQUEST,
                &"pid is missing or invalid; call /own/NAME?pid=N",
            ),
        }
    }

    /// Lists the names of the system's own instances with a live process.
    fn live_processes(&self) -> Reply {
        let state = self.state();
        let alive = state.process_ids.iter().filter(|(_, pid)| is_alive(**pid));
        json(
            OK,
            &alive.map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        )
    }

    /// Records the workers' usage and fetches the current list of instances from the server
    /// stand-in.
    pub(crate) fn refresh_roster(&self) {
        self.state().workers.record_usage();
        let Some(source) = self.state().roster_source.clone() else {
            return;
        };
        let Ok(response) = minreq::get(format!("http://{source}/roster"))
            .with_timeout(2)
            .send()
        else {
            return;
        };
        if let Ok(list) = serde_json::from_slice::<Vec<Listing>>(response.as_bytes()) {
            self.state().history.push(list);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a process exists and is no zombie; a stopped process counts as alive.
fn is_alive(pid: u32) -> bool {
    let Ok(stat) = std::fs::read_to_string(format!("/proc/{pid}/stat")) else {
        return false;
    };
    let state = stat
        .rsplit(") ")
        .next()
        .and_then(|rest| rest.chars().next());
    !matches!(state, None | Some('Z' | 'X'))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Reply> {
    serde_json::from_slice(body).map_err(|error| json(BAD_REQUEST, &error.to_string()))
}

fn json<T: Serialize>(status: u16, value: &T) -> Reply {
    Reply {
        status,
        body: serde_json::to_vec(value).unwrap_or_default(),
    }
}

fn unavailable(error: &Error) -> Reply {
    json(UNAVAILABLE, &error.to_string())
}
