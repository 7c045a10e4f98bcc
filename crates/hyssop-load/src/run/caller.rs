use crate::client::{Call, Pool, Reply};
use crate::stream::Keys;
use crate::{Balancer, Outcome, Record, Stream};
use bytes::Bytes;
use hyper::HeaderMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A caller that sends one request and, if it has a key, retries it.
pub(super) struct Caller {
    pub(super) streams: Arc<[Stream]>,
    pub(super) stream: usize,
    pub(super) pool: Arc<Pool>,
    pub(super) balancer: Balancer,
    pub(super) start: Instant,
    pub(super) due: Duration,
}

/// How long after its deadline a caller still waits for the response that reports the timeout.
const GRACE: Duration = Duration::from_secs(2);

/// The delay before a request with a key is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The maximum number of attempts for a request with a key.
const MAX_ATTEMPTS: usize = 20;

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
        for _ in 1..MAX_ATTEMPTS {
            let is_retryable = matches!(
                record.outcome,
                Outcome::Nothing | Outcome::NoConnection | Outcome::InProgress | Outcome::NotRun
            );
            if !is_retryable || due.elapsed() > self.spec().deadline {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            record = self.send(due, &key).await;
            record.lag = lag;
        }
        record
    }

    fn spec(&self) -> &Stream {
        &self.streams[self.stream]
    }

    /// Returns the idempotency key of the request, or an empty string for none.
    async fn key(&self) -> String {
        match self.spec().keys {
            Keys::None => String::new(),
            Keys::Unbound => uuid::Uuid::now_v7().to_string(),
            Keys::Bound => self.fetch_key().await,
        }
    }

    async fn fetch_key(&self) -> String {
        for _ in 0..MAX_ATTEMPTS {
            let Some(target) = self.balancer.next() else {
                break;
            };
            let call = Call {
                method: "POST".to_owned(),
                path: "/v1/keys".to_owned(),
                headers: Vec::new(),
                body: Bytes::new(),
            };
            if let Reply::Complete {
                status: 200, body, ..
            } = self.pool.send(target, call, GRACE).await
            {
                return String::from_utf8_lossy(&body).trim().to_owned();
            }
            tokio::time::sleep(RETRY_DELAY).await;
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
            outcome: Outcome::Nothing,
            status: 0,
            request: String::new(),
            key: key.to_owned(),
            reason: String::new(),
            instance: String::new(),
        };
        match reply {
            Reply::NoConnection => record.outcome = Outcome::NoConnection,
            Reply::Broken => {}
            Reply::Complete {
                status,
                headers,
                body,
            } => self.record_response(&mut record, status, &headers, &body),
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

    /// Records the outcome in the response and checks that the response belongs to this request.
    fn record_response(&self, record: &mut Record, status: u16, headers: &HeaderMap, body: &Bytes) {
        let text = |name: &str| {
            let value = headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        record.status = status;
        record.request = text("hyssop-request");
        record.reason = text("hyssop-reason");
        record.instance = text("hyssop-instance");
        record.outcome = match self.spec().pool {
            None => Outcome::Answered,
            Some(_) => text("hyssop-outcome").parse().unwrap_or(Outcome::Nothing),
        };
        let is_answer =
            matches!(record.outcome, Outcome::Answered | Outcome::Repeated) && status == 200;
        if is_answer && self.spec().pool.is_some() && self.spec().path.starts_with("/work") {
            let expected_id = match record.key.is_empty() {
                true => &record.request,
                false => &record.key,
            };
            let is_matching =
                std::str::from_utf8(body).is_ok_and(|body| body.contains(expected_id.as_str()));
            if !is_matching {
                record.outcome = Outcome::Wrong;
            }
        }
    }
}
