use crate::node::{Node, Reach};
use crate::peer::{Answer, Ask};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use hyssop_model::work::Queue;
use std::rc::Rc;
use std::time::Duration;

/// The maximum size of a body if the configuration sets no limit.
const BODY_BYTES: usize = 262_144;
/// The timeout of a request without a timeout header.
const PATIENCE: Duration = Duration::from_secs(3);
/// The time between the answer and the caller's timeout.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// How long a request waits for a reachable owner of its pool; a failover takes about a second.
const OWNER_PATIENCE: Duration = Duration::from_millis(1_800);
/// The timeout of a request to an owner before it is sent again, to the same or a newer owner.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_200);
const ID_DIGITS: usize = 16;
/// The time until a caller's retry if no better estimate is available.
const RETURN_MS: u64 = 1_000;

type Reply = Response<Full<Bytes>>;

/// Handles one request of a caller.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Incoming>) -> Reply {
    let configuration = node.configuration.borrow().clone();
    if configuration.version == 0 {
        return refuse(
            &node,
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
            RETURN_MS,
        );
    }
    let host = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .map(|host| host.split(':').next().unwrap_or(host).to_owned())
        .unwrap_or_default();
    let path = request.uri().path().to_owned();
    let Some(queue) = configuration.route(&host, &path) else {
        return refuse(&node, StatusCode::NOT_FOUND, "no such queue", 0);
    };
    let id = path[queue.prefix.len()..].to_owned();
    let patience = request
        .headers()
        .get(node.dialect.patience_header())
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(PATIENCE, Duration::from_millis);
    let asked_at = node.clock.now();
    let until = asked_at + patience.saturating_sub(ANSWER_MARGIN);
    let is_listing = id.is_empty() && request.method() == Method::GET;
    if !is_listing && (id.len() != ID_DIGITS || !id.bytes().all(|b| b.is_ascii_hexdigit())) {
        let reason = "a job's identifier must have 16 hexadecimal digits";
        return refuse(&node, StatusCode::BAD_REQUEST, reason, 0);
    }
    let method = request.method().clone();
    match method {
        Method::POST => {
            let limit = configuration.body_bytes.unwrap_or(BODY_BYTES);
            let body = match Limited::new(request.into_body(), limit).collect().await {
                Ok(body) => body.to_bytes(),
                Err(error) => {
                    let reason =
                        format!("the body can't be read or exceeds {limit} bytes: {error}");
                    return refuse(&node, StatusCode::PAYLOAD_TOO_LARGE, &reason, 0);
                }
            };
            submit(&node, queue, id, &body, asked_at, until).await
        }
        Method::GET if is_listing => waiting(&node, queue, until).await,
        Method::GET => phase(&node, queue, id, until).await,
        Method::DELETE => cancel(&node, queue, id, until).await,
        _ => refuse(
            &node,
            StatusCode::METHOD_NOT_ALLOWED,
            "use POST, GET or DELETE",
            0,
        ),
    }
}

/// Submits a job to its pool's owner.
async fn submit(
    node: &Rc<Node>,
    queue: &Queue,
    id: String,
    body: &[u8],
    asked_at: Duration,
    until: Duration,
) -> Reply {
    let submission = match node.dialect.read_submission(body) {
        Ok(submission) => submission,
        Err(reason) => return refuse(node, StatusCode::BAD_REQUEST, &reason, 0),
    };
    let ask = |now: Duration| Ask::Submit {
        part: queue.pool.clone(),
        queue: queue.name.clone(),
        id: id.clone(),
        age_ms: now.saturating_sub(asked_at).as_millis() as u64,
        patience_ms: until.saturating_sub(now).as_millis() as u64,
        submission: submission.clone(),
    };
    let answer = ask_owner(node, &queue.pool, until, &ask).await;
    let waited = node.clock.now().saturating_sub(asked_at);
    node.metrics.count_submission(name(&answer), waited);
    log::info!(
        "event=submit job={id} queue={} pool={} outcome={} waited_ms={}",
        queue.name,
        queue.pool,
        name(&answer),
        waited.as_millis()
    );
    match answer {
        Outcome::Answered(Answer::Done) => plain(StatusCode::OK),
        Outcome::Answered(Answer::Refused(reason, return_ms)) => {
            refuse(node, StatusCode::SERVICE_UNAVAILABLE, &reason, return_ms)
        }
        Outcome::NeverAsked => {
            let reason = "the pool has no reachable owner";
            refuse(node, StatusCode::SERVICE_UNAVAILABLE, reason, RETURN_MS)
        }
        _ => refuse(
            node,
            StatusCode::GATEWAY_TIMEOUT,
            "unknown whether the job is stored",
            0,
        ),
    }
}

/// Returns a job's phase.
async fn phase(node: &Rc<Node>, queue: &Queue, id: String, until: Duration) -> Reply {
    for part in parts_of(node, queue) {
        let ask = |_: Duration| Ask::Phase {
            part: part.clone(),
            id: id.clone(),
        };
        match ask_owner(node, &part, until, &ask).await {
            Outcome::Answered(Answer::Phase(phase)) => {
                return body(StatusCode::OK, node.dialect.phase_body(phase));
            }
            Outcome::Answered(Answer::Unknown) => {}
            _ => return owner_away(node),
        }
    }
    refuse(node, StatusCode::GONE, "no such job", 0)
}

/// Cancels a job.
async fn cancel(node: &Rc<Node>, queue: &Queue, id: String, until: Duration) -> Reply {
    for part in parts_of(node, queue) {
        let ask = |now: Duration| Ask::Cancel {
            part: part.clone(),
            id: id.clone(),
            patience_ms: until.saturating_sub(now).as_millis() as u64,
        };
        let answer = ask_owner(node, &part, until, &ask).await;
        log::info!(
            "event=cancel job={id} pool={part} outcome={}",
            name(&answer)
        );
        match answer {
            Outcome::Answered(Answer::Done) => return plain(StatusCode::OK),
            Outcome::Answered(Answer::Unknown) => {}
            _ => return owner_away(node),
        }
    }
    refuse(node, StatusCode::GONE, "no such job", 0)
}

/// Returns the number of a queue's waiting jobs.
async fn waiting(node: &Rc<Node>, queue: &Queue, until: Duration) -> Reply {
    let ask = |_: Duration| Ask::Waiting {
        part: queue.pool.clone(),
        queue: queue.name.clone(),
    };
    match ask_owner(node, &queue.pool, until, &ask).await {
        Outcome::Answered(Answer::Waiting(count)) => {
            body(StatusCode::OK, node.dialect.waiting_body(count))
        }
        _ => owner_away(node),
    }
}

/// Returns the shards that may have a queue's job: its current pool first, then all others, since
/// the queue may have been assigned to another pool when the job was accepted.
fn parts_of(node: &Node, queue: &Queue) -> Vec<String> {
    let mut parts = vec![queue.pool.clone()];
    let others = node.parts().into_iter();
    parts.extend(others.filter(|part| *part != queue.pool && part != crate::node::FLEET));
    parts
}

/// The outcome of a request to a shard's owner.
enum Outcome {
    /// The owner answered.
    Answered(Answer),
    /// The request was not sent to any owner.
    NeverAsked,
    /// The request was sent without a conclusive answer; an owner may have performed it.
    Unanswered,
}

/// Returns an outcome's label in logs and metrics.
fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(Answer::Done) => "done",
        Outcome::Answered(Answer::Refused(..)) => "refused",
        Outcome::Answered(Answer::Unknown) => "unknown",
        Outcome::Answered(_) => "answered",
        Outcome::NeverAsked => "no-owner",
        Outcome::Unanswered => "unanswered",
    }
}

/// Requests an operation from the shard's owner, and from the next one if the owner changes.
async fn ask_owner(
    node: &Rc<Node>,
    part: &str,
    until: Duration,
    ask: &dyn Fn(Duration) -> Ask,
) -> Outcome {
    let mut changes = node.changes.subscribe();
    let begun = node.clock.now();
    let mut was_asked = false;
    loop {
        let now = node.clock.now();
        if now >= until || (!was_asked && now.saturating_sub(begun) >= OWNER_PATIENCE) {
            return if was_asked {
                Outcome::Unanswered
            } else {
                Outcome::NeverAsked
            };
        }
        changes.mark_unchanged();
        let left = until.saturating_sub(now);
        let answer = match node.reach(part) {
            None => Some(Answer::NotOwner),
            Some(Reach::Here) => tokio::time::timeout(left, node.answer(ask(now))).await.ok(),
            Some(Reach::Link(link)) => link.ask(ask(now), left.min(ASK_TIMEOUT)).await,
        };
        match answer {
            Some(Answer::NotOwner) => {}
            Some(Answer::Uncertain) | None => was_asked = true,
            Some(answer) => return Outcome::Answered(answer),
        }
        /// An owner's row comes a little after its link; the pause bounds the asking meanwhile.
        const PAUSE: Duration = Duration::from_millis(60);
        let _ = tokio::time::timeout(PAUSE, changes.changed()).await;
    }
}

fn plain(status: StatusCode) -> Reply {
    body(status, b"{}".to_vec())
}

fn body(status: StatusCode, bytes: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Returns the response for a pool without a reachable owner.
fn owner_away(node: &Node) -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    refuse(node, status, "the pool's owner is unavailable", RETURN_MS)
}

/// Returns an error response; a `retry_ms` of 0 omits the `Retry-After` header.
fn refuse(node: &Node, status: StatusCode, reason: &str, return_ms: u64) -> Reply {
    let mut response = body(status, node.dialect.refusal_body(reason));
    if return_ms > 0 {
        let seconds = return_ms.div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
