use super::call::{Call, POOLS_PREFIX};
use super::reject::Reject;
use super::response::{self, Reply};
use super::server::Front;
use super::{control, jobs, task};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::sync::Arc;
use std::time::Instant;

/// Answers one request of a connection.
pub(crate) async fn answer(front: Arc<Front>, request: Request<Incoming>) -> Reply {
    if let Some(pool) = jobs::pool_of_submission(request.method(), request.uri().path()) {
        let pool = pool.to_owned();
        let (parts, body) = request.into_parts();
        return match read_body(&front, body).await {
            Ok(body) => jobs::submit(&front, &pool, &parts.headers, &body).await,
            Err(reject) => response::rejected("none", &reject),
        };
    }
    if request.uri().path().starts_with(POOLS_PREFIX) {
        return answer_call(front, request).await;
    }
    let (parts, body) = request.into_parts();
    match read_body(&front, body).await {
        Ok(body) => control::answer(&front, &parts.method, &parts.uri, body).await,
        Err(reject) => response::rejected("none", &reject),
    }
}

async fn answer_call(front: Arc<Front>, request: Request<Incoming>) -> Reply {
    let started = Instant::now();
    let number = front.next_request();
    let id = format!("{}-{number:x}", front.state.member.id);
    let (parts, body) = request.into_parts();
    let call = match Call::read(&parts.method, &parts.uri, &parts.headers, &front.limits) {
        Ok(call) => call,
        Err(reject) => return finish(&front, started, response::rejected(&id, &reject)),
    };
    let body = match read_body(&front, body).await {
        Ok(body) => body,
        Err(reject) => return finish(&front, started, response::rejected(&id, &reject)),
    };
    let reply = task::run(front.clone(), number, id, call, body, started).await;
    finish(&front, started, reply)
}

fn finish(front: &Front, started: Instant, reply: Reply) -> Reply {
    let labels = [response::outcome(&reply), response::reason(&reply)];
    front.metrics.requests.with_label_values(&labels).inc();
    front
        .metrics
        .latency
        .observe(started.elapsed().as_secs_f64());
    reply
}

/// Reads a body within the limits of size and time.
async fn read_body(front: &Front, body: Incoming) -> Result<Bytes, Reject> {
    let limit = front.limits.body;
    let collect = Limited::new(body, limit as usize).collect();
    match tokio::time::timeout(front.limits.body_timeout, collect).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {limit} bytes; send less");
            Err(Reject::new(StatusCode::PAYLOAD_TOO_LARGE, message))
        }
        Ok(Err(_)) => {
            let message = "the body broke off; send it whole";
            Err(Reject::new(StatusCode::BAD_REQUEST, message))
        }
        Err(_) => {
            let message = "the body took too long; send it faster";
            Err(Reject::new(StatusCode::REQUEST_TIMEOUT, message))
        }
    }
}
