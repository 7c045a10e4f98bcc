use super::discard::{discard, discard_body};
use super::keyring::{Caller, Denial};
use crate::intake::{Body, Inbound};
use crate::node::{Endpoint, Node, Route, Stage};
use crate::ownership::{locate_owner, report_owner};
use crate::peer::{Answer, Operation};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, EXPECT, HOST, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Method, Request, Response, StatusCode};
use hyssop_model::work::{Address, Queue, Submission};
use hyssop_policy::account::Credential;
use hyssop_policy::intake::Reason;
use hyssop_policy::owner::Rule;
use std::rc::Rc;
use std::time::Duration;

/// The maximum size of a body if the configuration sets no limit.
const DEFAULT_BODY_BYTES: usize = 262_144;
/// The timeout of a request without a timeout header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between the answer and the caller's timeout.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// How long a request waits for a reachable owner of its pool; a failover takes about a second.
const OWNER_WAIT: Duration = Duration::from_millis(1_800);
/// The maximum wait for a changed owner, link or configuration before the next attempt; an owner's row
/// arrives a little after its link opens.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The timeout of a request to an owner before it is sent again, to the same or a newer owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_200);
const ID_DIGITS: usize = 16;
/// The time until a caller's retry if no better estimate is available.
const RETRY_AFTER_MS: u64 = 1_000;

type Reply = Response<Full<Bytes>>;

/// Handles one request of a caller.
pub(crate) async fn handle(node: Rc<Node>, request: Request<Inbound>) -> Reply {
    let configuration = node.configuration.borrow().clone();
    if configuration.version == 0 {
        return error_response(
            &node,
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration yet",
            RETRY_AFTER_MS,
        );
    }
    if !node.knows_pools() {
        // A pool that the configuration doesn't name may have the job.
        return error_response(
            &node,
            StatusCode::SERVICE_UNAVAILABLE,
            "the pools with jobs are not known yet",
            RETRY_AFTER_MS,
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
        return error_response(&node, StatusCode::NOT_FOUND, "no such queue", 0);
    };
    let id = path[queue.prefix.len()..].to_owned();
    let limit = configuration.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES);
    let caller = Caller::new(host, path, credential(&node, &request), queue);
    if let Err(denial) = caller.admit(&node) {
        discard(request, limit).await;
        return denial_response(&node, denial);
    }
    let timeout = request
        .headers()
        .get(node.dialect.deadline_header())
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let received_at = node.clock.now();
    let deadline = received_at + timeout.saturating_sub(ANSWER_MARGIN);
    let is_listing = id.is_empty() && request.method() == Method::GET;
    if !is_listing && (id.len() != ID_DIGITS || !id.bytes().all(|b| b.is_ascii_hexdigit())) {
        let reason = "a job's identifier must have 16 hexadecimal digits";
        return error_response(&node, StatusCode::BAD_REQUEST, reason, 0);
    }
    let method = request.method().clone();
    let is_awaited = request.headers().contains_key(EXPECT);
    let mut inbound = request.into_body();
    // A connection that is closed before the body is read may lose the answer.
    let body = tokio::select! {
        biased;
        body = async {
            let body = inbound.read(limit, deadline).await;
            let is_unread = matches!(body, Err(Reason::NoBytes | Reason::BodyTooLarge));
            // A body that is refused as too large exceeds the limit by itself.
            if is_unread && !is_awaited {
                discard_body(inbound, limit.saturating_mul(2)).await;
            }
            body
        } => body,
        () = node.reached(Stage::Final) => return refuse_while_stopping(&node, &method, &caller.path),
    };
    // The configuration may have changed while the body was read.
    if let Err(denial) = caller.admit(&node) {
        return denial_response(&node, denial);
    }
    let body = match body {
        Ok(body) => body,
        Err(reason) => return refuse_body(&node, reason, limit),
    };
    if node.stage() >= Stage::Refusing {
        return refuse_while_stopping(&node, &method, &caller.path);
    }
    match method {
        Method::POST => {
            let arrival = Arrival {
                caller,
                received_at,
                deadline,
            };
            submit(&node, arrival, id, body).await
        }
        Method::GET if is_listing => waiting(&node, &caller, queue, deadline).await,
        Method::GET => phase(&node, &caller, queue, id, deadline).await,
        Method::DELETE => cancel(&node, &caller, queue, id, deadline).await,
        _ => error_response(
            &node,
            StatusCode::METHOD_NOT_ALLOWED,
            "use POST, GET or DELETE",
            0,
        ),
    }
}

/// Returns what the caller of a request presents to authenticate.
fn credential(node: &Node, request: &Request<Inbound>) -> Credential {
    let headers = request.headers();
    let values = headers.get_all(node.dialect.credential_header());
    let values = values.iter().map(HeaderValue::as_bytes);
    Credential::read(values, |value| node.dialect.read_credential(value))
}

/// Refuses a request that arrived when the process took no more requests; it has not run.
fn refuse_while_stopping(node: &Node, method: &Method, path: &str) -> Reply {
    log::info!("event=refused-stopping method={method} path={path}");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let reason = "the process is stopping; the request has not run";
    error_response(node, status, reason, RETRY_AFTER_MS)
}

/// Refuses a request whose body was not read, or whose job can't be held; it has not run.
fn refuse_body(node: &Node, reason: Reason, limit: usize) -> Reply {
    let (status, text, retry_ms) = match reason {
        Reason::BodyTooLarge => {
            let text = format!("the body exceeds {limit} bytes");
            (StatusCode::PAYLOAD_TOO_LARGE, text, 0)
        }
        Reason::BodyTimeout => {
            let text = "the body did not arrive in time; the request has not run".to_owned();
            (StatusCode::REQUEST_TIMEOUT, text, 0)
        }
        Reason::BodyBroken => {
            let text = "the body can't be read".to_owned();
            (StatusCode::BAD_REQUEST, text, 0)
        }
        _ => {
            let text = "too many requests are being read; the request has not run".to_owned();
            (StatusCode::SERVICE_UNAVAILABLE, text, RETRY_AFTER_MS)
        }
    };
    error_response(node, status, &text, retry_ms)
}

/// A caller's request to submit a job.
struct Arrival {
    caller: Caller,
    received_at: Duration,
    deadline: Duration,
}

/// Submits a job to its pool's owner, unless a pool that its queue was assigned to earlier has it.
async fn submit(node: &Rc<Node>, arrival: Arrival, id: String, mut body: Body) -> Reply {
    let submission = match node.dialect.read_submission(&body) {
        Ok(submission) => submission,
        Err(reason) => return error_response(node, StatusCode::BAD_REQUEST, &reason, 0),
    };
    if let Err(reason) = body.hold_decoded(&submission) {
        return refuse_body(node, reason, body.len());
    }
    let mut changes = node.changes.subscribe();
    loop {
        let configuration = node.configuration.borrow().clone();
        let Some(queue) = configuration.route(&arrival.caller.host, &arrival.caller.path) else {
            return error_response(node, StatusCode::NOT_FOUND, "no such queue", 0);
        };
        let version = configuration.version;
        let operation = |now: Duration, account: Option<String>| Operation::Submit {
            part: queue.pool.clone(),
            queue: queue.name.clone(),
            id: id.clone(),
            age_ms: now.saturating_sub(arrival.received_at).as_millis() as u64,
            patience_ms: arrival.deadline.saturating_sub(now).as_millis() as u64,
            submission: Submission {
                account,
                ..submission.clone()
            },
            rule: Some(Rule::new(queue)),
            address: Some(Address::of(queue)),
            version,
        };
        let caller = &arrival.caller;
        let answer = match recall(node, caller, queue, &id, version, arrival.deadline).await {
            Some(answer) => answer,
            None => {
                request_from_owner(node, caller, &queue.pool, arrival.deadline, &operation).await
            }
        };
        let elapsed = node.clock.now().saturating_sub(arrival.received_at);
        log::info!(
            "event=submit job={id} queue={} pool={} outcome={} waited_ms={}",
            queue.name,
            queue.pool,
            label(&answer),
            elapsed.as_millis()
        );
        let is_reassigned = matches!(answer, Outcome::Answered(Answer::Reassigned));
        let is_over = node.clock.now() >= arrival.deadline || node.stage() >= Stage::Final;
        if is_reassigned && !is_over {
            node.configuration_outdated.notify_one();
            changes.mark_unchanged();
            // Both a change and the end of the pause lead to the next attempt.
            let _ = tokio::time::timeout(RETRY_PAUSE, changes.changed()).await;
            continue;
        }
        node.metrics.count_submission(label(&answer), elapsed);
        return submission_reply(node, answer);
    }
}

/// Asks the other pools that may have a job for it; returns `None` if none has it or will accept it.
async fn recall(
    node: &Rc<Node>,
    caller: &Caller,
    queue: &Queue,
    id: &str,
    version: u64,
    deadline: Duration,
) -> Option<Outcome> {
    let pools = {
        let directory = node.directory.borrow();
        directory.other_pools(queue, node.clock.now())
    };
    for pool in pools {
        let operation = |now: Duration, account: Option<String>| Operation::Recall {
            part: pool.clone(),
            id: id.to_owned(),
            version,
            patience_ms: deadline.saturating_sub(now).as_millis() as u64,
            account,
        };
        match request_from_owner(node, caller, &pool, deadline, &operation).await {
            Outcome::Answered(Answer::Unknown) => {}
            outcome => {
                log::info!(
                    "event=recalled job={id} pool={pool} outcome={}",
                    label(&outcome)
                );
                return Some(outcome);
            }
        }
    }
    None
}

/// Returns the response to a submission.
fn submission_reply(node: &Node, answer: Outcome) -> Reply {
    match answer {
        Outcome::Answered(Answer::Done) => empty_response(StatusCode::OK),
        Outcome::Answered(Answer::Refused(reason, retry_ms)) => {
            error_response(node, StatusCode::SERVICE_UNAVAILABLE, &reason, retry_ms)
        }
        Outcome::Denied(denial) => denial_response(node, denial),
        Outcome::NotSent => {
            let reason = "the pool has no reachable owner";
            error_response(
                node,
                StatusCode::SERVICE_UNAVAILABLE,
                reason,
                RETRY_AFTER_MS,
            )
        }
        _ => {
            let reason = "unknown whether the job is stored";
            // The caller's own deadline has not passed if the stop has ended the wait.
            let retry_ms = if node.is_stopping.get() {
                RETRY_AFTER_MS
            } else {
                0
            };
            error_response(node, StatusCode::GATEWAY_TIMEOUT, reason, retry_ms)
        }
    }
}

/// Returns a job's phase.
async fn phase(
    node: &Rc<Node>,
    caller: &Caller,
    queue: &Queue,
    id: String,
    deadline: Duration,
) -> Reply {
    for shard in candidate_shards(node, queue) {
        let operation = |_: Duration, account: Option<String>| Operation::Phase {
            part: shard.clone(),
            id: id.clone(),
            account,
        };
        match request_from_owner(node, caller, &shard, deadline, &operation).await {
            Outcome::Answered(Answer::Phase(phase)) => {
                return json_response(StatusCode::OK, node.dialect.phase_body(phase));
            }
            Outcome::Answered(Answer::Unknown) => {}
            Outcome::Denied(denial) => return denial_response(node, denial),
            _ => return owner_unavailable(node),
        }
    }
    error_response(node, StatusCode::GONE, "no such job", 0)
}

/// Cancels a job.
async fn cancel(
    node: &Rc<Node>,
    caller: &Caller,
    queue: &Queue,
    id: String,
    deadline: Duration,
) -> Reply {
    for shard in candidate_shards(node, queue) {
        let operation = |now: Duration, account: Option<String>| Operation::Cancel {
            part: shard.clone(),
            id: id.clone(),
            patience_ms: deadline.saturating_sub(now).as_millis() as u64,
            account,
        };
        let answer = request_from_owner(node, caller, &shard, deadline, &operation).await;
        log::info!(
            "event=cancel job={id} pool={shard} outcome={}",
            label(&answer)
        );
        match answer {
            Outcome::Answered(Answer::Done) => return empty_response(StatusCode::OK),
            Outcome::Answered(Answer::Unknown) => {}
            Outcome::Denied(denial) => return denial_response(node, denial),
            _ => return owner_unavailable(node),
        }
    }
    error_response(node, StatusCode::GONE, "no such job", 0)
}

/// Returns the number of waiting jobs at a queue's address, those in pools that it was assigned to earlier
/// included.
async fn waiting(node: &Rc<Node>, caller: &Caller, queue: &Queue, deadline: Duration) -> Reply {
    let queues = node.directory.borrow().queues_at(queue);
    let mut total = 0;
    for (pool, name) in queues {
        let operation = |_: Duration, _: Option<String>| Operation::Waiting {
            part: pool.clone(),
            queue: name.clone(),
        };
        match request_from_owner(node, caller, &pool, deadline, &operation).await {
            Outcome::Answered(Answer::Waiting(count)) => total += count,
            Outcome::Denied(denial) => return denial_response(node, denial),
            _ => return owner_unavailable(node),
        }
    }
    json_response(StatusCode::OK, node.dialect.waiting_body(total))
}

/// Returns the shards that may have a queue's job: its current pool first, then all others, since
/// the queue may have been assigned to another pool when the job was accepted.
fn candidate_shards(node: &Node, queue: &Queue) -> Vec<String> {
    let mut shards = vec![queue.pool.clone()];
    let others = node.shards().into_iter();
    shards.extend(others.filter(|shard| *shard != queue.pool && shard != crate::node::FLEET));
    shards
}

/// The outcome of a request to a shard's owner.
enum Outcome {
    /// The owner answered.
    Answered(Answer),
    /// The caller is no longer admitted; the request was not sent to any owner.
    Denied(Denial),
    /// The request was not sent to any owner.
    NotSent,
    /// The request was sent without a conclusive answer; an owner may have performed it.
    Unanswered,
}

/// Returns an outcome's label in logs and metrics.
fn label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(Answer::Done) => "done",
        Outcome::Answered(Answer::Refused(..)) => "refused",
        Outcome::Answered(Answer::Unknown) => "unknown",
        Outcome::Answered(Answer::Reassigned) => "reassigned",
        Outcome::Answered(_) => "answered",
        Outcome::Denied(_) => "denied",
        Outcome::NotSent => "no-owner",
        Outcome::Unanswered => "unanswered",
    }
}

/// Requests an operation from the shard's owner, and from the next one if the owner changes.
///
/// `operation` gets the time and the caller's account. The caller is checked by the newest
/// configuration each time, until an owner may have performed the operation.
async fn request_from_owner(
    node: &Rc<Node>,
    caller: &Caller,
    shard: &str,
    deadline: Duration,
    operation: &dyn Fn(Duration, Option<String>) -> Operation,
) -> Outcome {
    let mut changes = node.changes.subscribe();
    let started_at = node.clock.now();
    let mut was_sent = false;
    let mut account = None;
    loop {
        seek_owner(node, shard, started_at);
        let now = node.clock.now();
        let is_over = now >= deadline
            || (!was_sent && now.saturating_sub(started_at) >= OWNER_WAIT)
            || node.stage() >= Stage::Final
            || node.is_abandoned(shard);
        if is_over {
            return if was_sent {
                Outcome::Unanswered
            } else {
                Outcome::NotSent
            };
        }
        changes.mark_unchanged();
        let left = deadline.saturating_sub(now);
        if !was_sent {
            match caller.admit(node) {
                Ok(admitted) => account = admitted,
                Err(denial) => return Outcome::Denied(denial),
            }
        }
        let answer = match node.route_to(shard) {
            None => Some(Answer::NotOwner),
            Some(Route::Local) => {
                tokio::time::timeout(left, node.perform(operation(now, account.clone())))
                    .await
                    .ok()
            }
            Some(Route::Link(link)) => {
                let request =
                    link.request(operation(now, account.clone()), left.min(OWNER_TIMEOUT));
                tokio::select! {
                    answer = request => answer,
                    () = owner_replaced(node, shard, &link.peer) => None,
                    () = node.reached(Stage::Final) => None,
                }
            }
        };
        match answer {
            Some(Answer::NotOwner) => {}
            Some(Answer::Uncertain) | None => was_sent = true,
            Some(answer) => return Outcome::Answered(answer),
        }
        tokio::select! {
            _ = tokio::time::timeout(RETRY_PAUSE, changes.changed()) => {}
            () = node.reached(Stage::Final) => {}
        }
    }
}

/// Looks for the shard's owner if a request has waited for it since `started_at` without success.
fn seek_owner(node: &Rc<Node>, shard: &str, started_at: Duration) {
    /// The watchers of an owner have replaced it by then, or are lost too.
    const REPORT_AFTER: Duration = Duration::from_millis(900);
    let waited = node.clock.now().saturating_sub(started_at);
    if waited.is_zero() {
        return;
    }
    // The store tells of a new owner within milliseconds, if it answers at all.
    if node.store.failed_since().is_some() || waited >= REPORT_AFTER {
        locate_owner(node, shard);
    }
    if waited >= REPORT_AFTER {
        report_owner(node, shard);
    }
}

/// Waits until another process than `owner` owns the shard.
async fn owner_replaced(node: &Rc<Node>, shard: &str, owner: &Endpoint) {
    let mut changes = node.changes.subscribe();
    loop {
        let is_owner = node
            .owners
            .borrow()
            .get(shard)
            .is_some_and(|current| current.process == owner.process);
        if !is_owner || changes.changed().await.is_err() {
            return;
        }
    }
}

fn empty_response(status: StatusCode) -> Reply {
    json_response(status, b"{}".to_vec())
}

fn json_response(status: StatusCode, bytes: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the response for a pool without a reachable owner.
fn owner_unavailable(node: &Node) -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    error_response(
        node,
        status,
        "the pool's owner is unavailable",
        RETRY_AFTER_MS,
    )
}

/// Returns the response to a request that is denied; it has not run.
fn denial_response(node: &Node, denial: Denial) -> Reply {
    match denial {
        Denial::Unauthorized(cause) => {
            let reason = format!("the request has not run: {}", cause.message());
            let mut response = error_response(node, StatusCode::UNAUTHORIZED, &reason, 0);
            let challenge = HeaderValue::from_static(node.dialect.challenge());
            response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
            response
        }
        Denial::Stale => {
            let reason = "the process does not know the present keys; the request has not run";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            error_response(node, status, reason, RETRY_AFTER_MS)
        }
    }
}

/// Returns an error response; a `retry_ms` of 0 omits the `Retry-After` header.
fn error_response(node: &Node, status: StatusCode, reason: &str, retry_ms: u64) -> Reply {
    let mut response = json_response(status, node.dialect.refusal_body(reason));
    if retry_ms > 0 {
        let seconds = retry_ms.div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}
