use super::{ExecutionCounter, Fault, Instance};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The response body of `/work`.
#[derive(Debug, Serialize)]
struct WorkResponse<'a> {
    instance: &'a str,
    request: &'a str,
    key: &'a str,
    sha256: String,
}

type Body = BoxBody<Bytes, io::Error>;

const SLOW_FACTOR: u32 = 10;
const HEALTH_DELAY: Duration = Duration::from_millis(1);
const SLOW_HEALTH_DELAY: Duration = Duration::from_millis(100);

/// A guard that frees a request's slot and adds to the busy time when it is dropped, whether the
/// request completed or was cut off.
struct RequestGuard {
    instance: Arc<Instance>,
    started: Instant,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let elapsed_us = self.started.elapsed().as_micros() as u64;
        self.instance
            .busy_us
            .fetch_add(elapsed_us, Ordering::SeqCst);
        self.instance.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Handles one request to an instance.
pub(super) async fn handle(
    instance: Arc<Instance>,
    executions: Arc<ExecutionCounter>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let request_id = header(&parts.headers, "hyssop-request");
    let mut response = if parts.uri.path() == "/health" {
        health(&instance).await
    } else {
        let key = header(&parts.headers, "idempotency-key");
        // A request counts as started once it has acquired a slot, before its body is read.
        if !instance.try_start() {
            busy_response()
        } else {
            executions.count(&request_id, &key);
            let guard = RequestGuard {
                instance: instance.clone(),
                started: Instant::now(),
            };
            let response = execute(&instance, &parts.uri, &request_id, &key, body).await;
            drop(guard);
            response
        }
    };
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert("hyssop-request", value);
    }
    response
}

async fn execute(
    instance: &Instance,
    uri: &hyper::Uri,
    request_id: &str,
    key: &str,
    body: Incoming,
) -> Response<Body> {
    let Ok(collected) = body.collect().await else {
        return full(StatusCode::BAD_REQUEST, "the request body is incomplete\n");
    };
    let body = collected.to_bytes();
    match instance.fault() {
        Fault::Hang => std::future::pending().await,
        Fault::Fail => return full(StatusCode::INTERNAL_SERVER_ERROR, "fault fail is set\n"),
        _ => {}
    }
    let ms = query_ms(uri);
    let delay_factor = if instance.fault() == Fault::Slow {
        SLOW_FACTOR
    } else {
        1
    };
    match uri.path() {
        "/work" => {
            tokio::time::sleep(Duration::from_millis(ms) * delay_factor).await;
            let work_response = WorkResponse {
                instance: &instance.name,
                request: request_id,
                key,
                sha256: hex(&Sha256::digest(&body)),
            };
            json_response(&work_response)
        }
        "/echo" => full(StatusCode::OK, body),
        "/fail" => full(StatusCode::INTERNAL_SERVER_ERROR, "requested failure\n"),
        "/hang" => std::future::pending().await,
        "/truncate" => truncated_response(),
        _ => full(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

async fn health(instance: &Instance) -> Response<Body> {
    match instance.fault() {
        Fault::Hang => std::future::pending().await,
        Fault::Fail => return full(StatusCode::INTERNAL_SERVER_ERROR, "fault fail is set\n"),
        Fault::Slow => tokio::time::sleep(SLOW_HEALTH_DELAY).await,
        Fault::None | Fault::Refuse => tokio::time::sleep(HEALTH_DELAY).await,
    }
    full(StatusCode::OK, "well\n")
}

fn busy_response() -> Response<Body> {
    let mut response = full(StatusCode::SERVICE_UNAVAILABLE, "all slots are in use\n");
    let value = hyper::header::HeaderValue::from_static("true");
    response.headers_mut().insert("hyssop-busy", value);
    response
}

/// Returns a response whose body breaks off after its first bytes.
fn truncated_response() -> Response<Body> {
    let frames = vec![
        Ok(Frame::data(Bytes::from_static(b"the answer breaks o"))),
        Err(io::Error::other("requested truncation")),
    ];
    let body = StreamBody::new(Frames(frames.into_iter()));
    Response::new(BodyExt::boxed(body))
}

/// A stream over frames that are all available at once.
struct Frames(std::vec::IntoIter<Result<Frame<Bytes>, io::Error>>);

impl futures_util::Stream for Frames {
    type Item = Result<Frame<Bytes>, io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Ready(self.0.next())
    }
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = full(StatusCode::OK, body);
    let value = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

fn full(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() = status;
    response
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("").to_owned()
}

fn query_ms(uri: &hyper::Uri) -> u64 {
    let pairs = uri.query().unwrap_or("").split('&');
    let ms = pairs.filter_map(|pair| pair.strip_prefix("ms=")).next();
    ms.and_then(|ms| ms.parse().ok()).unwrap_or(0)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
