use super::body::{Body, Unread};
use super::call::{Call, POOLS_PREFIX};
use super::response::{self, Reply};
use super::server::Frontend;
use super::{control, jobs, task};
use hyper::body::Incoming;
use hyper::Request;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time until a retry of a request for whose body there was no memory; most bodies arrive within it.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles one request of a connection.
pub(crate) async fn handle(frontend: Arc<Frontend>, request: Request<Incoming>) -> Reply {
    if let Some(pool) = jobs::pool_of_submission(request.method(), request.uri().path()) {
        let pool = pool.to_owned();
        let (parts, body) = request.into_parts();
        return match read_body(&frontend, body).await {
            Ok(body) => jobs::submit(&frontend, &pool, &parts.headers, &body.bytes).await,
            Err(cause) => unread("none", &cause),
        };
    }
    if request.uri().path().starts_with(POOLS_PREFIX) {
        return handle_call(frontend, request).await;
    }
    let (parts, body) = request.into_parts();
    match read_body(&frontend, body).await {
        Ok(body) => {
            let bytes = body.bytes.clone();
            control::handle(&frontend, &parts.method, &parts.uri, bytes).await
        }
        Err(cause) => unread("none", &cause),
    }
}

/// Handles a request to a pool.
async fn handle_call(frontend: Arc<Frontend>, request: Request<Incoming>) -> Reply {
    let started = Instant::now();
    let number = frontend.next_request_number();
    let id = format!("{}-{number:x}", frontend.state.member.id);
    let (parts, body) = request.into_parts();
    let call = match Call::parse(&parts.method, &parts.uri, &parts.headers, &frontend.limits) {
        Ok(call) => call,
        Err(rejection) => return record(&frontend, started, response::rejected(&id, &rejection)),
    };
    let body = match read_body(&frontend, body).await {
        Ok(body) => body,
        Err(cause) => return record(&frontend, started, unread(&id, &cause)),
    };
    let bytes = body.bytes.clone();
    let reply = task::run(frontend.clone(), number, id, call, bytes, started).await;
    record(&frontend, started, reply)
}

/// Records the outcome and the latency of a request to a pool.
fn record(frontend: &Frontend, started: Instant, reply: Reply) -> Reply {
    let labels = [response::outcome(&reply), response::reason(&reply)];
    frontend.metrics.requests.with_label_values(&labels).inc();
    frontend
        .metrics
        .latency
        .observe(started.elapsed().as_secs_f64());
    reply
}

/// Reads a request body within the limits on its size, its time and the memory for all bodies.
async fn read_body(frontend: &Frontend, body: Incoming) -> Result<Body, Unread> {
    frontend.bodies.read(&frontend.limits, body).await
}

/// Returns the response to a request whose body was not read; it has not run.
fn unread(request: &str, cause: &Unread) -> Reply {
    match cause {
        Unread::Rejected(rejection) => response::rejected(request, rejection),
        Unread::NoMemory => response::not_run(request, "body-memory", BODY_RETRY_AFTER),
    }
}
