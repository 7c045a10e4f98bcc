use super::call::POOLS_PREFIX;
use super::rejection::Rejection;
use super::response::{self, Reply};
use super::server::Frontend;
use crate::jobs::Submission;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use hyssop_model::clock::{Clock, System};
use hyssop_model::job::Record;
use hyssop_platform::Error;
use std::time::Duration;

/// Delay after which a caller may retry a failed call.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the pool of a request that submits a job, or `None` for any other request.
pub(super) fn pool_of_submission<'a>(method: &Method, path: &'a str) -> Option<&'a str> {
    let rest = path.strip_prefix(POOLS_PREFIX)?;
    let pool = rest.strip_suffix("/jobs")?;
    (*method == Method::POST && !pool.contains('/')).then_some(pool)
}

/// Submits a job and responds with 202 once it is committed.
pub(super) async fn submit(
    frontend: &Frontend,
    pool: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Reply {
    let record = match Submission::parse(pool, headers, body, System.wall_ms()) {
        Ok(record) => record,
        Err(rejection) => return response::rejected("none", &rejection),
    };
    match frontend.jobs.submitter.submit(record).await {
        Ok(record) => response::json(StatusCode::ACCEPTED, &record),
        Err(error) => unavailable(&error),
    }
}

/// Handles `GET /v1/jobs`, and `GET` and `DELETE` of `/v1/jobs/ID`.
pub(super) async fn handle(frontend: &Frontend, method: &Method, uri: &Uri) -> Reply {
    let store = frontend.jobs.clone();
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
    // Calls to the platform block, so they run outside the threads that serve callers.
    let call = tokio::task::spawn_blocking(move || match (method.as_str(), id.as_str()) {
        ("GET", "") => list_response(store.list(team.as_deref())),
        ("GET", id) => job_response(id, store.get(id)),
        ("DELETE", id) => job_response(id, store.cancel(id)),
        _ => response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET or DELETE\n"),
    });
    match call.await {
        Ok(reply) => reply,
        Err(_) => response::text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "the call was aborted; retry it\n",
        ),
    }
}

fn list_response(result: Result<Vec<Record>, Error>) -> Reply {
    match result {
        Ok(records) => response::json(StatusCode::OK, &records),
        Err(error) => unavailable(&error),
    }
}

fn job_response(id: &str, result: Result<Option<Record>, Error>) -> Reply {
    match result {
        Ok(Some(record)) => response::json(StatusCode::OK, &record),
        Ok(None) => {
            let rejection =
                Rejection::new(StatusCode::NOT_FOUND, format!("there is no job {id:?}"));
            response::rejected("none", &rejection)
        }
        Err(error) => unavailable(&error),
    }
}

/// Returns the response to a call that failed at the table service. Whether the call took effect
/// may be unknown; a retry with the same key is safe.
fn unavailable(error: &Error) -> Reply {
    let mut reply = response::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"));
    let seconds = RETRY_AFTER.as_secs().to_string();
    response::set_header(&mut reply, "retry-after", &seconds);
    reply
}
