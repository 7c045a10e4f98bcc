use crate::client::{Call, Pool, Reply};
use crate::stream::Keys;
use crate::{Balancer, Record, Stream, Told};
use bytes::Bytes;
use hyper::HeaderMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Sends one request, and repeats it if it has a key.
pub(super) struct Caller {
    pub(super) streams: Arc<[Stream]>,
    pub(super) stream: usize,
    pub(super) pool: Arc<Pool>,
    pub(super) balancer: Balancer,
    pub(super) start: Instant,
    pub(super) due: Duration,
}

/// How much longer than its deadline a caller waits for the word that it passed.
const GRACE: Duration = Duration::from_secs(2);

/// The pause before a keyed request is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// How often a keyed request is sent at most.
const MOST_SENDS: usize = 20;

impl Caller {
    pub(super) async fn call(self) -> Record {
        let due = self.start + self.due;
        let lag = due.elapsed();
        let key = self.key().await;
        let mut record = self.send(due, &key).await;
        record.lag = lag;
        if key.is_empty() {
            return record;
        }
        for _ in 1..MOST_SENDS {
            let is_open = matches!(
                record.told,
                Told::Nothing | Told::NoConnection | Told::InProgress | Told::NotRun
            );
            if !is_open || due.elapsed() > self.spec().deadline {
                break;
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
            record = self.send(due, &key).await;
            record.lag = lag;
        }
        record
    }

    fn spec(&self) -> &Stream {
        &self.streams[self.stream]
    }

    /// Returns the key of the request, or an empty one.
    async fn key(&self) -> String {
        match self.spec().keys {
            Keys::None => String::new(),
            Keys::Unbound => uuid::Uuid::now_v7().to_string(),
            Keys::Bound => self.fetch_key().await,
        }
    }

    async fn fetch_key(&self) -> String {
        for _ in 0..MOST_SENDS {
            let Some(target) = self.balancer.next() else {
                break;
            };
            let call = Call {
                method: "POST".to_owned(),
                path: "/v1/keys".to_owned(),
                headers: Vec::new(),
                body: Bytes::new(),
            };
            if let Reply::Whole {
                status: 200, body, ..
            } = self.pool.send(target, call, GRACE).await
            {
                return String::from_utf8_lossy(&body).trim().to_owned();
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
        String::new()
    }

    async fn send(&self, due: Instant, key: &str) -> Record {
        let reply = match self.balancer.next() {
            Some(target) => self.exchange(target, key).await,
            None => Reply::NoConnection,
        };
        let mut record = Record {
            stream: self.stream,
            due: self.due,
            lag: Duration::ZERO,
            latency: due.elapsed(),
            told: Told::Nothing,
            status: 0,
            request: String::new(),
            key: key.to_owned(),
            reason: String::new(),
            instance: String::new(),
        };
        match reply {
            Reply::NoConnection => record.told = Told::NoConnection,
            Reply::Broken => {}
            Reply::Whole {
                status,
                headers,
                body,
            } => self.judge(&mut record, status, &headers, &body),
        }
        record
    }

    async fn exchange(&self, target: SocketAddr, key: &str) -> Reply {
        let spec = self.spec();
        let mut headers = Vec::new();
        let path = match &spec.pool {
            None => spec.path.clone(),
            Some(pool) => {
                headers.push(("hyssop-queue", spec.queue.clone()));
                headers.push(("hyssop-class", spec.class.to_string()));
                headers.push(("hyssop-deadline-ms", spec.deadline.as_millis().to_string()));
                format!("/v1/pools/{pool}{}", spec.path)
            }
        };
        if !key.is_empty() {
            headers.push(("idempotency-key", key.to_owned()));
        }
        let call = Call {
            method: spec.method.clone(),
            path,
            headers,
            body: Bytes::from(vec![b'x'; spec.body]),
        };
        self.pool.send(target, call, spec.deadline + GRACE).await
    }

    /// Reads what the answer tells, and checks that it is the answer of this request.
    fn judge(&self, record: &mut Record, status: u16, headers: &HeaderMap, body: &Bytes) {
        let text = |name: &str| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        record.status = status;
        record.request = text("hyssop-request");
        record.reason = text("hyssop-reason");
        record.instance = text("hyssop-instance");
        record.told = match self.spec().pool {
            None => Told::Answered,
            Some(_) => text("hyssop-outcome").parse().unwrap_or(Told::Nothing),
        };
        let is_answer = matches!(record.told, Told::Answered | Told::Repeated) && status == 200;
        if is_answer && self.spec().pool.is_some() && self.spec().path.starts_with("/work") {
            let named = match record.key.is_empty() {
                true => &record.request,
                false => &record.key,
            };
            let is_own = std::str::from_utf8(body).is_ok_and(|body| body.contains(named.as_str()));
            if !is_own {
                record.told = Told::Wrong;
            }
        }
    }
}
