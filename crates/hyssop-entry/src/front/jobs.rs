use super::call::POOLS_PREFIX;
use super::reject::Reject;
use super::response::{self, Reply};
use super::server::Front;
use crate::jobs::Submission;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use hyssop_model::clock::{Clock, System};
use hyssop_model::job::Record;
use hyssop_platform::Error;
use std::time::Duration;

/// When a caller whose call failed may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the pool that a request submits a job to, if it does.
pub(super) fn pool_of_submission<'a>(method: &Method, path: &'a str) -> Option<&'a str> {
    let rest = path.strip_prefix(POOLS_PREFIX)?;
    let pool = rest.strip_suffix("/jobs")?;
    (*method == Method::POST && !pool.contains('/')).then_some(pool)
}

/// Submits a job; 202 is answered only when it is durable.
pub(super) async fn submit(front: &Front, pool: &str, headers: &HeaderMap, body: &[u8]) -> Reply {
    let record = match Submission::read(pool, headers, body, System.wall_ms()) {
        Ok(record) => record,
        Err(reject) => return response::rejected("none", &reject),
    };
    match front.jobs.submitter.submit(record).await {
        Ok(record) => response::json(StatusCode::ACCEPTED, &record),
        Err(error) => unavailable(&error),
    }
}

/// Answers `GET /v1/jobs`, and `GET` and `DELETE` of `/v1/jobs/ID`.
pub(super) async fn answer(front: &Front, method: &Method, uri: &Uri) -> Reply {
    let calls = front.jobs.clone();
    let method = method.clone();
    let id = uri
        .path()
        .trim_start_matches("/v1/jobs")
        .trim_matches('/')
        .to_owned();
    let team = uri
        .query()
        .and_then(|query| query.strip_prefix("team="))
        .map(str::to_owned);
    // Calls to the platform block, so they run beside the threads that serve callers.
    let call = tokio::task::spawn_blocking(move || match (method.as_str(), id.as_str()) {
        ("GET", "") => listed(calls.list(team.as_deref())),
        ("GET", id) => found(id, calls.get(id)),
        ("DELETE", id) => found(id, calls.cancel(id)),
        _ => response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET or DELETE\n"),
    });
    match call.await {
        Ok(reply) => reply,
        Err(_) => response::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the call broke off; repeat it\n",
        ),
    }
}

fn listed(result: Result<Vec<Record>, Error>) -> Reply {
    match result {
        Ok(records) => response::json(StatusCode::OK, &records),
        Err(error) => unavailable(&error),
    }
}

fn found(id: &str, result: Result<Option<Record>, Error>) -> Reply {
    match result {
        Ok(Some(record)) => response::json(StatusCode::OK, &record),
        Ok(None) => {
            let reject = Reject::new(StatusCode::NOT_FOUND, format!("there is no job {id:?}"));
            response::rejected("none", &reject)
        }
        Err(error) => unavailable(&error),
    }
}

/// Answers a call that the table service failed: whether it took effect may be open, and a repeat
/// with the same key is harmless.
fn unavailable(error: &Error) -> Reply {
    let mut reply = response::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"));
    let seconds = RETRY_AFTER.as_secs().to_string();
    response::set(&mut reply, "retry-after", &seconds);
    reply
}
