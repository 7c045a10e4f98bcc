use super::jobs;
use super::response::{self, Reply};
use super::server::Frontend;
use crate::core::{Message, Snapshot};
use crate::state::Readiness;
use bytes::Bytes;
use hyper::{Method, StatusCode, Uri};
use std::time::{Duration, Instant};

/// Delay after which a caller may retry when the entry is stopping.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles requests to the entry itself: health, metrics, events, keys, jobs and operator
/// commands.
pub(crate) async fn handle(frontend: &Frontend, method: &Method, uri: &Uri, body: Bytes) -> Reply {
    match (method.as_str(), uri.path()) {
        ("GET", "/health/live") => response::text(StatusCode::OK, "live\n"),
        ("GET", "/health/ready") => readiness(frontend),
        ("GET", "/metrics") => response::text(StatusCode::OK, frontend.metrics.render()),
        ("GET", "/events") => events(frontend, uri),
        ("GET", "/v1/control/report") => report(frontend).await,
        ("POST", "/v1/keys") => mint_key(frontend).await,
        (_, path) if path.starts_with("/v1/jobs") => jobs::handle(frontend, method, uri).await,
        (_, path) if path.starts_with("/v1/operator/") => invoke(frontend, method, uri, body).await,
        _ => response::text(
            StatusCode::NOT_FOUND,
            "not found; callers use /v1/pools/POOL/PATH\n",
        ),
    }
}

fn readiness(frontend: &Frontend) -> Reply {
    let readiness = frontend.state.readiness(Instant::now());
    let status = match readiness {
        Readiness::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    response::text(status, format!("{readiness}\n"))
}

fn events(frontend: &Frontend, uri: &Uri) -> Reply {
    let query = uri.query().unwrap_or("after=0");
    let after = query
        .strip_prefix("after=")
        .and_then(|number| number.parse().ok());
    match after {
        Some(after) => response::json(StatusCode::OK, &frontend.recorder.after(after)),
        None => response::text(
            StatusCode::BAD_REQUEST,
            "the query is malformed; use /events?after=NUMBER\n",
        ),
    }
}

async fn report(frontend: &Frontend) -> Reply {
    let (reply, snapshot) = flume::bounded(1);
    if frontend.inbox.send(Message::TakeSnapshot(reply)).is_err() {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "the entry is stopping\n");
    }
    let snapshot: Snapshot = snapshot.recv_async().await.unwrap_or_default();
    response::json(StatusCode::OK, &snapshot)
}

async fn mint_key(frontend: &Frontend) -> Reply {
    let (reply, key) = flume::bounded(1);
    if frontend.inbox.send(Message::MintKey(reply)).is_err() {
        return response::not_run("none", "stopping", RETRY_AFTER);
    }
    match key.recv_async().await {
        Ok(Some(key)) => response::text(StatusCode::OK, format!("{key}\n")),
        _ => response::not_run("none", "stopping", RETRY_AFTER),
    }
}

/// Runs an operator command.
async fn invoke(frontend: &Frontend, method: &Method, uri: &Uri, body: Bytes) -> Reply {
    let handler = frontend.command_handler.clone();
    let (method, uri) = (method.clone(), uri.clone());
    // Calls to the platform block, so they run outside the threads that serve callers.
    let call = tokio::task::spawn_blocking(move || handler.handle(&method, &uri, &body));
    match call.await {
        Ok(reply) => reply,
        Err(_) => response::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the command was aborted; retry it\n",
        ),
    }
}
