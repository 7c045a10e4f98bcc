use super::call::{Call, POOLS_PREFIX};
use super::rejection::Rejection;
use super::response::{self, Reply};
use super::server::Frontend;
use super::{control, jobs, task};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::sync::Arc;
use std::time::Instant;

/// Handles one request of a connection.
pub(crate) async fn handle(frontend: Arc<Frontend>, request: Request<Incoming>) -> Reply {
    if let Some(pool) = jobs::pool_of_submission(request.method(), request.uri().path()) {
        let pool = pool.to_owned();
        let (parts, body) = request.into_parts();
        return match read_body(&frontend, body).await {
            Ok(body) => jobs::submit(&frontend, &pool, &parts.headers, &body).await,
            Err(rejection) => response::rejected("none", &rejection),
        };
    }
    if request.uri().path().starts_with(POOLS_PREFIX) {
        return handle_call(frontend, request).await;
    }
    let (parts, body) = request.into_parts();
    match read_body(&frontend, body).await {
        Ok(body) => control::handle(&frontend, &parts.method, &parts.uri, body).await,
        Err(rejection) => response::rejected("none", &rejection),
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
        Err(rejection) => return record(&frontend, started, response::rejected(&id, &rejection)),
    };
    let reply = task::run(frontend.clone(), number, id, call, body, started).await;
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

/// Reads a request body within the size and time limits.
async fn read_body(frontend: &Frontend, body: Incoming) -> Result<Bytes, Rejection> {
    let limit = frontend.limits.body;
    let collect = Limited::new(body, limit as usize).collect();
    match tokio::time::timeout(frontend.limits.body_timeout, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body exceeds {limit} bytes; send less");
            Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, message))
        }
        Ok(Err(_)) => {
            let message = "the body is incomplete; send the complete body";
            Err(Rejection::new(StatusCode::BAD_REQUEST, message))
        }
        Err(_) => {
            let message = "the body was not received in time; send it faster";
            Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, message))
        }
    }
}
