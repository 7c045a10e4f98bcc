use super::jobs;
use super::response::{self, Reply};
use super::server::Front;
use crate::core::{Message, Snapshot};
use crate::state::Readiness;
use bytes::Bytes;
use hyper::{Method, StatusCode, Uri};
use std::time::{Duration, Instant};

/// When a caller whom a stopping entry turned away may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers requests for the entry itself: health, metrics, events and operators' commands.
pub(crate) async fn answer(front: &Front, method: &Method, uri: &Uri, body: Bytes) -> Reply {
    match (method.as_str(), uri.path()) {
        ("GET", "/health/live") => response::text(StatusCode::OK, "live\n"),
        ("GET", "/health/ready") => ready(front),
        ("GET", "/metrics") => response::text(StatusCode::OK, front.metrics.render()),
        ("GET", "/events") => events(front, uri),
        ("GET", "/v1/control/report") => report(front).await,
        ("POST", "/v1/keys") => mint(front).await,
        (_, path) if path.starts_with("/v1/jobs") => jobs::answer(front, method, uri).await,
        (_, path) if path.starts_with("/v1/operator/") => operate(front, method, uri, body).await,
        _ => response::text(
            StatusCode::NOT_FOUND,
            "there is nothing here; callers use /v1/pools/POOL/PATH\n",
        ),
    }
}

fn ready(front: &Front) -> Reply {
    let readiness = front.state.readiness(Instant::now());
    let status = match readiness {
        Readiness::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    response::text(status, format!("{readiness}\n"))
}

fn events(front: &Front, uri: &Uri) -> Reply {
    let query = uri.query().unwrap_or("after=0");
    let after = query
        .strip_prefix("after=")
        .and_then(|number| number.parse().ok());
    match after {
        Some(after) => response::json(StatusCode::OK, &front.recorder.after(after)),
        None => response::text(
            StatusCode::BAD_REQUEST,
            "the query can't be read; call /events?after=NUMBER\n",
        ),
    }
}

async fn report(front: &Front) -> Reply {
    let (reply, snapshot) = flume::bounded(1);
    if front.inbox.send(Message::TakeSnapshot(reply)).is_err() {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "the entry stops\n");
    }
    let snapshot: Snapshot = snapshot.recv_async().await.unwrap_or_default();
    response::json(StatusCode::OK, &snapshot)
}

async fn mint(front: &Front) -> Reply {
    let (reply, key) = flume::bounded(1);
    if front.inbox.send(Message::MintKey(reply)).is_err() {
        return response::not_run("none", "stopping", RETRY_AFTER);
    }
    match key.recv_async().await {
        Ok(Some(key)) => response::text(StatusCode::OK, format!("{key}\n")),
        _ => response::not_run("none", "stopping", RETRY_AFTER),
    }
}

async fn operate(front: &Front, method: &Method, uri: &Uri, body: Bytes) -> Reply {
    let operator = front.operator.clone();
    let (method, uri) = (method.clone(), uri.clone());
    // Calls to the platform block, so they run beside the threads that serve callers.
    let call = tokio::task::spawn_blocking(move || operator.answer(&method, &uri, &body));
    match call.await {
        Ok(reply) => reply,
        Err(_) => response::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the command broke off; repeat it\n",
        ),
    }
}
