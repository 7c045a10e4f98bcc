use super::connection::{self, Connection};
use super::Answer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Response};
use hyssop_policy::attempt::End;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Is a request as it is sent to a backend server; clones share the body.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Is the end of an attempt, with the answer if there is a whole one.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) end: End,
    pub(crate) answer: Option<Answer>,
}

impl Reply {
    /// Makes the end of an attempt that was never made.
    pub(crate) fn not_sent() -> Self {
        failed(End::NotSent)
    }
}

/// Keeps idle connections by address.
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    most_idle: AtomicUsize,
    answer_limit: usize,
}

/// The header that names a request, and that an answer must repeat if it has it.
pub(crate) const REQUEST_HEADER: &str = "hyssop-request";

/// The header by which an instance tells that it had no slot and did not start the request.
const BUSY_HEADER: &str = "hyssop-busy";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_LIFE: Duration = Duration::from_secs(10);

impl Pool {
    pub(crate) fn new(answer_limit: u64) -> Self {
        const FIRST_MOST_IDLE: usize = 8;
        Self {
            idle: Mutex::default(),
            most_idle: AtomicUsize::new(FIRST_MOST_IDLE),
            answer_limit: usize::try_from(answer_limit).unwrap_or(usize::MAX),
        }
    }

    /// Sets how many idle connections to one instance are kept.
    pub(crate) fn set_most_idle(&self, count: usize) {
        self.most_idle.store(count.max(1), Ordering::Relaxed);
    }

    /// Sends a request and waits for the whole answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Reply {
        let deadline = Instant::now() + timeout;
        loop {
            let (connection, is_reused) = match self.take(address) {
                Some(connection) => (Some(connection), true),
                None => (
                    connection::open(address, timeout.min(CONNECT_TIMEOUT)).await,
                    false,
                ),
            };
            let Some(connection) = connection else {
                return failed(End::NotConnected);
            };
            let left = deadline.saturating_duration_since(Instant::now());
            let reply = self
                .exchange(address, connection, request.clone(), left)
                .await;
            // A pooled connection that the server had closed proves nothing of the instance.
            if is_reused && reply.end == End::NotSent {
                continue;
            }
            return reply;
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request,
        left: Duration,
    ) -> Reply {
        let id = request.id.clone();
        let exchange = async {
            if connection.sender.ready().await.is_err() {
                return failed(End::NotSent);
            }
            let message = encode(address, request);
            match connection.sender.try_send_request(message).await {
                Ok(response) => self.collect(&id, response).await,
                Err(mut error) => match error.take_message() {
                    Some(_) => failed(End::NotSent),
                    None => failed(End::Broken),
                },
            }
        };
        let reply = match tokio::time::timeout(left, exchange).await {
            Ok(reply) => reply,
            Err(_) => return failed(End::TimedOut),
        };
        if reply.answer.is_some() || reply.end == End::Busy {
            self.put_back(address, connection);
        }
        reply
    }

    async fn collect(&self, id: &str, response: Response<Incoming>) -> Reply {
        let (parts, body) = response.into_parts();
        let Ok(body) = Limited::new(body, self.answer_limit).collect().await else {
            return failed(End::Truncated);
        };
        if parts
            .headers
            .get(REQUEST_HEADER)
            .is_some_and(|found| found != id)
        {
            return failed(End::Mismatched);
        }
        if parts.headers.contains_key(BUSY_HEADER) {
            return failed(End::Busy);
        }
        Reply {
            end: End::Answered {
                is_error: parts.status.is_server_error(),
            },
            answer: Some(Answer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            }),
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() && connection.idle_since.elapsed() < IDLE_LIFE {
                return Some(connection);
            }
        }
        None
    }

    fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.most_idle.load(Ordering::Relaxed) {
            connections.push(connection);
        }
    }

    /// Closes the connections that stood idle for too long.
    pub(crate) fn close_idle(&self) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.idle_since.elapsed() < IDLE_LIFE);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn failed(end: End) -> Reply {
    Reply { end, answer: None }
}

fn encode(address: SocketAddr, request: Request) -> hyper::Request<Full<Bytes>> {
    let mut message = hyper::Request::new(Full::new(request.body));
    *message.method_mut() = request.method;
    *message.uri_mut() = request.path.parse().unwrap_or_default();
    *message.headers_mut() = request.headers;
    let headers = message.headers_mut();
    if let Ok(host) = address.to_string().parse() {
        headers.insert(hyper::header::HOST, host);
    }
    if let Ok(id) = request.id.parse() {
        headers.insert(REQUEST_HEADER, id);
    }
    message
}
