use super::{Executed, Fault, Instance};
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

/// Is the answer of `/work`.
#[derive(Debug, Serialize)]
struct Worked<'a> {
    instance: &'a str,
    request: &'a str,
    key: &'a str,
    sha256: String,
}

type Body = BoxBody<Bytes, io::Error>;

const SLOW_FACTOR: u32 = 10;
const HEALTH_TIME: Duration = Duration::from_millis(1);
const SLOW_HEALTH_TIME: Duration = Duration::from_millis(100);

/// Counts a request in progress until it is dropped, be it answered or cut off.
struct Progress {
    instance: Arc<Instance>,
    started: Instant,
}

impl Drop for Progress {
    fn drop(&mut self) {
        let took = self.started.elapsed().as_micros() as u64;
        self.instance.busy_us.fetch_add(took, Ordering::SeqCst);
        self.instance.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Answers one request at an instance.
pub(super) async fn answer(
    instance: Arc<Instance>,
    executed: Arc<Executed>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let id = header(&parts.headers, "hyssop-request");
    let mut response = if parts.uri.path() == "/health" {
        health(&instance).await
    } else {
        let key = header(&parts.headers, "idempotency-key");
        // A request counts as started once it is taken in, before its body is read.
        if !instance.start() {
            busy()
        } else {
            executed.count(&id, &key);
            let progress = Progress {
                instance: instance.clone(),
                started: Instant::now(),
            };
            let response = run(&instance, &parts.uri, &id, &key, body).await;
            drop(progress);
            response
        }
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("hyssop-request", value);
    }
    response
}

async fn run(
    instance: &Instance,
    uri: &hyper::Uri,
    id: &str,
    key: &str,
    body: Incoming,
) -> Response<Body> {
    let Ok(collected) = body.collect().await else {
        return full(StatusCode::BAD_REQUEST, "the body broke off\n");
    };
    let body = collected.to_bytes();
    match instance.fault() {
        Fault::Hang => std::future::pending().await,
        Fault::Fail => return full(StatusCode::INTERNAL_SERVER_ERROR, "fault fail is set\n"),
        _ => {}
    }
    let ms = query_ms(uri);
    let factor = if instance.fault() == Fault::Slow {
        SLOW_FACTOR
    } else {
        1
    };
    match uri.path() {
        "/work" => {
            tokio::time::sleep(Duration::from_millis(ms) * factor).await;
            let worked = Worked {
                instance: &instance.name,
                request: id,
                key,
                sha256: hex(&Sha256::digest(&body)),
            };
            json(&worked)
        }
        "/echo" => full(StatusCode::OK, body),
        "/fail" => full(StatusCode::INTERNAL_SERVER_ERROR, "as asked\n"),
        "/hang" => std::future::pending().await,
        "/truncate" => truncated(),
        _ => full(StatusCode::NOT_FOUND, "there is nothing here\n"),
    }
}

async fn health(instance: &Instance) -> Response<Body> {
    match instance.fault() {
        Fault::Hang => std::future::pending().await,
        Fault::Fail => return full(StatusCode::INTERNAL_SERVER_ERROR, "fault fail is set\n"),
        Fault::Slow => tokio::time::sleep(SLOW_HEALTH_TIME).await,
        Fault::None | Fault::Refuse => tokio::time::sleep(HEALTH_TIME).await,
    }
    full(StatusCode::OK, "well\n")
}

fn busy() -> Response<Body> {
    let mut response = full(StatusCode::SERVICE_UNAVAILABLE, "all slots are in use\n");
    let value = hyper::header::HeaderValue::from_static("true");
    response.headers_mut().insert("hyssop-busy", value);
    response
}

/// Makes an answer that breaks off after its first bytes.
fn truncated() -> Response<Body> {
    let frames = vec![
        Ok(Frame::data(Bytes::from_static(b"the answer breaks o"))),
        Err(io::Error::other("as asked")),
    ];
    let body = StreamBody::new(Frames(frames.into_iter()));
    Response::new(BodyExt::boxed(body))
}

/// Yields frames that are all there.
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

fn json<T: Serialize>(value: &T) -> Response<Body> {
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
