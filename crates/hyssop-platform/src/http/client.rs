use super::{Commit, Keys, Prefix, Rows};
use crate::object::Object;
use crate::roster::{Listing, Roster};
use crate::table::{Row, Table, Transaction};
use crate::worker::{Signal, Start, Usage, Worker};
use crate::Error;
use hyssop_model::job;
use minreq::{Request, Response};
use serde::de::DeserializeOwned;

/// A client of the platform at one base address.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    timeout_s: u64,
}

const STATUS_OK: i32 = 200;
const STATUS_NOT_FOUND: i32 = 404;
const STATUS_CONFLICT: i32 = 409;
const STATUS_THROTTLED: i32 = 429;
const STATUS_UNAVAILABLE: i32 = 503;

impl Client {
    /// Creates a client of `base`, such as `http://127.0.0.1:7000`, that waits at most `timeout_s`
    /// seconds for a response.
    pub fn new(base: impl Into<String>, timeout_s: u64) -> Self {
        Self {
            base: base.into(),
            timeout_s,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn send(&self, request: Request) -> Result<Response, Error> {
        let response = request
            .with_timeout(self.timeout_s)
            .send()
            .map_err(|error| transport_error(&error))?;
        match response.status_code {
            STATUS_OK | STATUS_NOT_FOUND | STATUS_CONFLICT => Ok(response),
            STATUS_THROTTLED => Err(Error::Throttled),
            STATUS_UNAVAILABLE => Err(Error::Down {
                reason: "status 503".to_owned(),
            }),
            status => Err(Error::Malformed {
                reason: format!("status {status}"),
            }),
        }
    }

    fn post<T: serde::Serialize>(&self, path: &str, body: &T) -> Result<Response, Error> {
        let request = minreq::post(self.url(path))
            .with_json(body)
            .map_err(|error| Error::Malformed {
                reason: error.to_string(),
            })?;
        self.send(request)
    }
}

/// Distinguishes a call that was never sent from one whose response was lost.
fn transport_error(error: &minreq::Error) -> Error {
    let reason = error.to_string();
    match error {
        minreq::Error::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Error::Down { reason }
        }
        _ => Error::Lost { reason },
    }
}

fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    serde_json::from_slice(response.as_bytes()).map_err(|error| Error::Malformed {
        reason: error.to_string(),
    })
}

fn check_conflict(response: &Response) -> Result<(), Error> {
    if response.status_code != STATUS_CONFLICT {
        return Ok(());
    }
    match parse(response)? {
        Commit::Conflict { key } => Err(Error::Conflict { key }),
        Commit::Done => Ok(()),
    }
}

impl Table for Client {
    fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, Error> {
        let body = Keys {
            keys: keys.to_vec(),
        };
        let rows: Rows = parse(&self.post("/table/read", &body)?)?;
        Ok(rows.rows)
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let body = Prefix {
            prefix: prefix.to_owned(),
        };
        let rows: Rows = parse(&self.post("/table/scan", &body)?)?;
        Ok(rows.rows.into_iter().flatten().collect())
    }

    fn commit(&self, transaction: &Transaction) -> Result<(), Error> {
        check_conflict(&self.post("/table/commit", transaction)?)
    }
}

impl Object for Client {
    fn put(&self, name: &str, body: &str) -> Result<(), Error> {
        let request = minreq::put(self.url(&format!("/object/{name}"))).with_body(body);
        self.send(request).map(|_| ())
    }

    fn get(&self, name: &str) -> Result<Option<String>, Error> {
        let response = self.send(minreq::get(self.url(&format!("/object/{name}"))))?;
        if response.status_code == STATUS_NOT_FOUND {
            return Ok(None);
        }
        let body = response.as_str().map_err(|error| Error::Malformed {
            reason: error.to_string(),
        })?;
        Ok(Some(body.to_owned()))
    }
}

impl Roster for Client {
    fn list(&self) -> Result<Vec<Listing>, Error> {
        parse(&self.send(minreq::get(self.url("/roster")))?)
    }

    fn own_instances(&self) -> Result<Vec<String>, Error> {
        parse(&self.send(minreq::get(self.url("/own")))?)
    }

    fn reboot(&self, name: &str) -> Result<(), Error> {
        let request = minreq::post(self.url(&format!("/roster/{name}/reboot")));
        self.send(request).map(|_| ())
    }
}

impl Worker for Client {
    fn list(&self) -> Result<Vec<job::Worker>, Error> {
        parse(&self.send(minreq::get(self.url("/workers")))?)
    }
    fn start(&self, start: &Start) -> Result<(), Error> {
        check_conflict(&self.post("/workers/start", start)?)
    }

    fn signal(&self, worker: &str, task: &str, signal: Signal) -> Result<(), Error> {
        let path = format!("/workers/{worker}/tasks/{task}/{signal}");
        let response = self.send(minreq::post(self.url(&path)))?;
        check_conflict(&response)
    }

    fn usage(&self) -> Result<Vec<Usage>, Error> {
        parse(&self.send(minreq::get(self.url("/workers/usage")))?)
    }
}
