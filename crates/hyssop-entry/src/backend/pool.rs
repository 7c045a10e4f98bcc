use super::connection::{self, Connection};
use super::BufferedResponse;
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

/// A request to a backend server; clones share the body.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The result of an attempt, with the response if it is complete.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) end: End,
    pub(crate) response: Option<BufferedResponse>,
}

impl AttemptResult {
    /// Returns the result of an attempt that was not sent.
    pub(crate) fn not_sent() -> Self {
        without_response(End::NotSent)
    }
}

/// Pool of idle connections to backend servers, by address.
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
    max_idle: AtomicUsize,
    max_response_bytes: usize,
}

/// The header with the request id; a response that contains it must repeat the id.
pub(crate) const REQUEST_HEADER: &str = "hyssop-request";

/// The header of a response by which an instance without a free slot rejects a request that it
/// has not started.
const BUSY_HEADER: &str = "hyssop-busy";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Pool {
    pub(crate) fn new(max_response_bytes: u64) -> Self {
        const INITIAL_MAX_IDLE: usize = 8;
        Self {
            idle: Mutex::default(),
            max_idle: AtomicUsize::new(INITIAL_MAX_IDLE),
            max_response_bytes: usize::try_from(max_response_bytes).unwrap_or(usize::MAX),
        }
    }

    /// Sets the maximum number of idle connections per instance; at least one is kept.
    pub(crate) fn set_max_idle(&self, count: usize) {
        self.max_idle.store(count.max(1), Ordering::Relaxed);
    }

    /// Sends a request and waits for the complete response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> AttemptResult {
        let deadline = Instant::now() + timeout;
        loop {
            let (connection, is_reused) = match self.acquire(address) {
                Some(connection) => (Some(connection), true),
                None => (
                    connection::open(address, timeout.min(CONNECT_TIMEOUT)).await,
                    false,
                ),
            };
            let Some(connection) = connection else {
                return without_response(End::NotConnected);
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let result = self
                .exchange(address, connection, request.clone(), remaining)
                .await;
            // The server may close an idle connection at any time. That is no evidence of a failed
            // instance, so the next connection is tried.
            if is_reused && result.end == End::NotSent {
                continue;
            }
            return result;
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request,
        remaining: Duration,
    ) -> AttemptResult {
        let id = request.id.clone();
        let exchange = async {
            if connection.sender.ready().await.is_err() {
                return without_response(End::NotSent);
            }
            let message = build_request(address, request);
            match connection.sender.try_send_request(message).await {
                Ok(response) => self.read_response(&id, response).await,
                Err(mut error) => match error.take_message() {
                    Some(_) => without_response(End::NotSent),
                    None => without_response(End::Broken),
                },
            }
        };
        let result = match tokio::time::timeout(remaining, exchange).await {
            Ok(result) => result,
            Err(_) => return without_response(End::TimedOut),
        };
        if result.response.is_some() || result.end == End::Busy {
            self.release(address, connection);
        }
        result
    }

    async fn read_response(&self, id: &str, response: Response<Incoming>) -> AttemptResult {
        let (parts, body) = response.into_parts();
        let Ok(body) = Limited::new(body, self.max_response_bytes).collect().await else {
            return without_response(End::Truncated);
        };
        if parts
            .headers
            .get(REQUEST_HEADER)
            .is_some_and(|returned_id| returned_id != id)
        {
            return without_response(End::Mismatched);
        }
        if parts.headers.contains_key(BUSY_HEADER) {
            return without_response(End::Busy);
        }
        AttemptResult {
            end: End::Answered {
                is_error: parts.status.is_server_error(),
            },
            response: Some(BufferedResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            }),
        }
    }

    fn acquire(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() && connection.idle_since.elapsed() < IDLE_TIMEOUT {
                return Some(connection);
            }
        }
        None
    }

    fn release(&self, address: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.max_idle.load(Ordering::Relaxed) {
            connections.push(connection);
        }
    }

    /// Closes the connections that have exceeded the idle timeout.
    pub(crate) fn close_idle(&self) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.idle_since.elapsed() < IDLE_TIMEOUT);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn without_response(end: End) -> AttemptResult {
    AttemptResult {
        end,
        response: None,
    }
}

fn build_request(address: SocketAddr, request: Request) -> hyper::Request<Full<Bytes>> {
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
