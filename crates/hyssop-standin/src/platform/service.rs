use super::{Fault, Faults, History, Limit, Stats, Workers};
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

/// Answers the platform's calls.
pub(crate) struct Service {
    pub(crate) store: Store,
    pub(crate) control: Mutex<Control>,
}

/// Is what the operator of a test sets and reads.
pub(crate) struct Control {
    pub(crate) faults: Faults,
    pub(crate) reads: Limit,
    pub(crate) writes: Limit,
    pub(crate) history: History,
    pub(crate) source: Option<String>,
    /// The process numbers of the system's own instances by name.
    pub(crate) own: BTreeMap<String, u32>,
    pub(crate) stats: Stats,
    pub(crate) workers: Workers,
}

/// Is an answer before it is written, or `None` for a lost one.
pub(crate) struct Answer {
    status: u16,
    body: Vec<u8>,
}

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const THROTTLED: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// How many rows of a scan cost as much as one row read by key.
const ROWS_PER_SCAN_UNIT: usize = 25;

impl Service {
    /// Answers one request, or drops its connection where the answer is to be lost.
    pub(crate) fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        if std::io::Read::read_to_end(request.as_reader(), &mut body).is_err() {
            return;
        }
        let url = request.url().to_owned();
        let method = request.method().clone();
        let Some(answer) = self.answer(&method, &url, &body) else {
            drop(request.into_writer());
            return;
        };
        let response = tiny_http::Response::from_data(answer.body).with_status_code(answer.status);
        // Whoever asked may have stopped waiting.
        let _ = request.respond(response);
    }

    fn answer(&self, method: &Method, url: &str, body: &[u8]) -> Option<Answer> {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            (Method::Post, ["fault"]) => return Some(self.set_fault(query)),
            (Method::Get, ["stats"]) => return Some(json(OK, &self.control().stats)),
            (Method::Post, ["roster", "source"]) => return Some(self.set_source(query)),
            (Method::Post, ["own", name]) => return Some(self.set_own(name, query)),
            _ => {}
        }
        if let Some(refusal) = self.suffer() {
            return Some(refusal);
        }
        match (method, parts.as_slice()) {
            (Method::Post, ["table", "read"]) => Some(self.read(body)),
            (Method::Post, ["table", "scan"]) => Some(self.scan(body)),
            (Method::Post, ["table", "commit"]) => self.commit(body),
            (Method::Put, ["object", name]) => Some(self.put_object(name, body)),
            (Method::Get, ["object", name]) => Some(self.get_object(name)),
            (Method::Get, ["roster"]) => Some(json(OK, &self.control().history.lagging())),
            (Method::Get, ["own"]) => Some(self.own()),
            (Method::Get, ["workers"]) => Some(json(OK, &self.control().workers.list())),
            (Method::Get, ["workers", "usage"]) => Some(json(OK, &self.control().workers.usage())),
            (Method::Get, ["workers", "starts"]) => Some(json(OK, self.control().workers.starts())),
            (Method::Post, ["workers", "start"]) => self.start_task(body),
            (Method::Post, ["workers", name, "fault"]) => {
                let is_failing = query == "kind=fail";
                self.control().workers.set_failing(name, is_failing);
                Some(json(OK, &"set"))
            }
            (Method::Post, ["workers", _, "tasks", task, signal]) => {
                Some(self.signal_task(task, signal))
            }
            (Method::Post, ["roster", name, "reboot"]) => Some(self.reboot(name)),
            _ => Some(json(NOT_FOUND, &"there is nothing here")),
        }
    }

    /// Waits or refuses as the faults say.
    fn suffer(&self) -> Option<Answer> {
        let is_slow = {
            let mut control = self.control();
            if control.faults.is_set(Fault::Down) {
                control.stats.refused += 1;
                return Some(json(UNAVAILABLE, &"fault down is set"));
            }
            control.faults.is_set(Fault::Slow)
        };
        if is_slow {
            std::thread::sleep(Duration::from_millis(rand::rng().random_range(500..1000)));
        }
        None
    }

    fn read(&self, body: &[u8]) -> Answer {
        let keys: Keys = match parse(body) {
            Ok(keys) => keys,
            Err(refusal) => return refusal,
        };
        if let Some(refusal) = self.charge_reads(keys.keys.len()) {
            return refusal;
        }
        match self.store.read(&keys.keys) {
            Ok(rows) => json(OK, &Rows { rows }),
            Err(error) => failed(&error),
        }
    }

    fn scan(&self, body: &[u8]) -> Answer {
        let prefix: Prefix = match parse(body) {
            Ok(prefix) => prefix,
            Err(refusal) => return refusal,
        };
        let rows = match self.store.scan(&prefix.prefix) {
            Ok(rows) => rows,
            Err(error) => return failed(&error),
        };
        if let Some(refusal) = self.charge_reads(1 + rows.len() / ROWS_PER_SCAN_UNIT) {
            return refusal;
        }
        let rows = rows.into_iter().map(Some).collect();
        json(OK, &Rows { rows })
    }

    fn commit(&self, body: &[u8]) -> Option<Answer> {
        let transaction: Transaction = match parse(body) {
            Ok(transaction) => transaction,
            Err(refusal) => return Some(refusal),
        };
        let count = transaction.writes.len();
        {
            let mut control = self.control();
            if !control.writes.take(count) {
                control.stats.throttled += 1;
                return Some(json(THROTTLED, &"over the rate of writes"));
            }
        }
        let result = self.store.commit(&transaction);
        let mut control = self.control();
        match result {
            Ok(()) => {
                control.stats.commits += 1;
                control.stats.row_writes += count as u64;
                if control.faults.is_set(Fault::Lose) && rand::rng().random_bool(0.5) {
                    control.stats.lost += 1;
                    return None;
                }
                Some(json(OK, &Commit::Done))
            }
            Err(Error::Conflict { key }) => {
                control.stats.conflicts += 1;
                Some(json(CONFLICT, &Commit::Conflict { key }))
            }
            Err(error) => Some(failed(&error)),
        }
    }

    fn start_task(&self, body: &[u8]) -> Option<Answer> {
        let start = match parse(body) {
            Ok(start) => start,
            Err(refusal) => return Some(refusal),
        };
        let mut control = self.control();
        let is_started = control.workers.start(start);
        if control.faults.is_set(Fault::Lose) && rand::rng().random_bool(0.5) {
            control.stats.lost += 1;
            return None;
        }
        Some(if is_started {
            json(OK, &Commit::Done)
        } else {
            let key = "a higher fence was started".to_owned();
            json(CONFLICT, &Commit::Conflict { key })
        })
    }

    fn signal_task(&self, task: &str, signal: &str) -> Answer {
        match signal.parse() {
            Ok(signal) => {
                self.control().workers.signal(task, signal);
                json(OK, &Commit::Done)
            }
            Err(_) => json(BAD_REQUEST, &"the signal is not known"),
        }
    }

    fn put_object(&self, name: &str, body: &[u8]) -> Answer {
        match self.store.put(name, &String::from_utf8_lossy(body)) {
            Ok(()) => json(OK, &"stored"),
            Err(error) => failed(&error),
        }
    }

    fn get_object(&self, name: &str) -> Answer {
        match self.store.get(name) {
            Ok(Some(body)) => Answer {
                status: OK,
                body: body.into_bytes(),
            },
            Ok(None) => json(NOT_FOUND, &"there is no such object"),
            Err(error) => failed(&error),
        }
    }

    fn reboot(&self, name: &str) -> Answer {
        let source = self.control().source.clone();
        let Some(source) = source else {
            return json(NOT_FOUND, &"no servers are registered");
        };
        let url = format!("http://{source}/instances/{name}/reboot");
        match minreq::post(url).send() {
            Ok(response) if response.status_code == i32::from(OK) => json(OK, &"rebooting"),
            _ => json(UNAVAILABLE, &"the instance can't be rebooted now"),
        }
    }

    fn charge_reads(&self, count: usize) -> Option<Answer> {
        let mut control = self.control();
        if !control.reads.take(count) {
            control.stats.throttled += 1;
            return Some(json(THROTTLED, &"over the rate of reads"));
        }
        control.stats.row_reads += count as u64;
        None
    }

    /// Sets a fault: `kind=down|slow|lose&ms=N`, `kind=lag&ms=N` or `kind=none`.
    fn set_fault(&self, query: &str) -> Answer {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let length = value("ms")
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis);
        let mut control = self.control();
        match (value("kind"), length) {
            (Some("none"), _) => control.faults.clear(),
            (Some("lag"), Some(length)) => control.history.set_lag(length),
            (Some(kind), Some(length)) => match kind.parse() {
                Ok(fault) => control.faults.set(fault, length),
                Err(_) => {
                    return json(
                        BAD_REQUEST,
                        &"the fault is not known; use down, slow, lose, lag or none",
                    )
                }
            },
            _ => {
                return json(
                    BAD_REQUEST,
                    &"the fault can't be read; call /fault?kind=down&ms=5000",
                )
            }
        }
        json(OK, &"set")
    }

    fn set_source(&self, query: &str) -> Answer {
        match query.strip_prefix("address=") {
            Some(address) => {
                self.control().source = Some(address.to_owned());
                json(OK, &"registered")
            }
            None => json(BAD_REQUEST, &"call /roster/source?address=IP:PORT"),
        }
    }

    /// Notes the process of one of the system's own instances: `pid=N`.
    fn set_own(&self, name: &str, query: &str) -> Answer {
        match query.strip_prefix("pid=").and_then(|pid| pid.parse().ok()) {
            Some(pid) => {
                self.control().own.insert(name.to_owned(), pid);
                json(OK, &"noted")
            }
            None => json(BAD_REQUEST, &"call /own/NAME?pid=N"),
        }
    }

    /// Lists the system's own instances whose process is alive.
    fn own(&self) -> Answer {
        let control = self.control();
        let alive = control.own.iter().filter(|(_, pid)| is_alive(**pid));
        json(
            OK,
            &alive.map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        )
    }

    /// Asks the servers which instances are up.
    pub(crate) fn refresh_roster(&self) {
        self.control().workers.observe();
        let Some(source) = self.control().source.clone() else {
            return;
        };
        let Ok(response) = minreq::get(format!("http://{source}/roster"))
            .with_timeout(2)
            .send()
        else {
            return;
        };
        if let Ok(list) = serde_json::from_slice::<Vec<Listing>>(response.as_bytes()) {
            self.control().history.push(list);
        }
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether a process runs, or is paused, and is not merely waiting to be reaped.
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

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Answer> {
    serde_json::from_slice(body).map_err(|error| json(BAD_REQUEST, &error.to_string()))
}

fn json<T: Serialize>(status: u16, value: &T) -> Answer {
    Answer {
        status,
        body: serde_json::to_vec(value).unwrap_or_default(),
    }
}

fn failed(error: &Error) -> Answer {
    json(UNAVAILABLE, &error.to_string())
}
