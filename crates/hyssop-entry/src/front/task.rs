use super::call::{Call, ATTEMPT_HEADER};
use super::claim;
use super::reject::Reject;
use super::response::{self, Reply};
use super::server::Front;
use crate::backend;
use crate::core::{Decision, Inbox, Message};
use bytes::Bytes;
use hyper::StatusCode;
use hyssop_event::Kind;
use hyssop_model::request;
use hyssop_policy::attempt::End;
use hyssop_policy::dispatch::{Arrival, Fate};
use hyssop_wire::claim::Verdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tells the core when a caller goes away before its request started.
struct Departure {
    inbox: Inbox,
    key: request::Key,
    is_answered: bool,
}

impl Drop for Departure {
    fn drop(&mut self) {
        if !self.is_answered {
            // Sending fails only during shutdown, after the core has stopped.
            let _ = self.inbox.send(Message::Cancel(self.key));
        }
    }
}

/// Takes a call through queue, slots and attempts to its answer.
///
/// The work goes on in a task of its own when the caller leaves midway, so that a slot is held as
/// long as the backend server works and the end of every attempt is known.
pub(crate) async fn run(
    front: Arc<Front>,
    number: u64,
    id: String,
    call: Call,
    body: Bytes,
    started: Instant,
) -> Reply {
    let key = request::Key(number);
    let mut departure = Departure {
        inbox: front.inbox.clone(),
        key,
        is_answered: false,
    };
    let request = id.clone();
    let task = tokio::spawn(async move {
        Task {
            front,
            key,
            id,
            call,
        }
        .drive(body, started)
        .await
    });
    let reply = task.await;
    departure.is_answered = true;
    reply.unwrap_or_else(|_| response::unknown(&request, StatusCode::GATEWAY_TIMEOUT, None))
}

/// Is one call in the hands of the core.
struct Task {
    front: Arc<Front>,
    key: request::Key,
    id: String,
    call: Call,
}

impl Task {
    /// Claims the request if it has a key to claim, runs it, and settles the claim.
    async fn drive(self, body: Bytes, started: Instant) -> Reply {
        let Some(key) = self.call.key_to_claim().map(str::to_owned) else {
            return self.drive_granted(body, started).await;
        };
        let verdict = self.claim(key, &body).await;
        if let Some(reply) = claim::refusal(&self.id, &verdict) {
            return reply;
        }
        let mut reply = self.drive_granted(body, started).await;
        let end = claim::end(&mut reply).await;
        // Sending fails only during shutdown, after the core has stopped.
        let _ = self.front.inbox.send(Message::CompleteClaim {
            request: self.key,
            end,
        });
        reply
    }

    async fn claim(&self, key: String, body: &Bytes) -> Verdict {
        let (reply, verdict) = flume::bounded(1);
        let message = Message::Claim {
            request: self.key,
            key,
            fingerprint: claim::fingerprint(&self.call, body),
            reply,
        };
        if self.front.inbox.send(message).is_err() {
            return Verdict::NotNow;
        }
        verdict.recv_async().await.unwrap_or(Verdict::NotNow)
    }

    async fn drive_granted(&self, body: Bytes, started: Instant) -> Reply {
        let (decide, decisions) = flume::unbounded();
        let arrival = self.arrival(body.len(), started);
        if self
            .front
            .inbox
            .send(Message::Arrival(arrival, decide))
            .is_err()
        {
            return response::not_run(&self.id, "stopping", Duration::from_secs(1));
        }
        let mut last: Option<(String, End)> = None;
        while let Ok(decision) = decisions.recv_async().await {
            match decision {
                Decision::Finish(fate) => return self.finish(fate, last.as_ref()),
                Decision::Start {
                    instance,
                    address,
                    attempt,
                    timeout,
                    send_by,
                } => {
                    let result = if Instant::now() < send_by {
                        self.attempt(address, attempt, timeout, body.clone()).await
                    } else {
                        backend::AttemptResult::not_sent()
                    };
                    self.note(&instance, attempt, result.end);
                    let end = result.end;
                    if let Some(response) = result.response {
                        return response::answered(&self.id, &instance, response);
                    }
                    last = Some((instance, end));
                }
            }
        }
        // The core forgot the request because its caller left while it waited.
        response::not_run(&self.id, "caller-left", Duration::from_secs(1))
    }

    fn arrival(&self, body_bytes: usize, started: Instant) -> Arrival {
        const OVERHEAD_BYTES: u64 = 1024;
        Arrival {
            key: self.key,
            pool: self.call.pool.clone(),
            queue: self.call.queue.clone(),
            class: self.call.class,
            deadline: started + self.call.patience,
            bytes: body_bytes as u64 + OVERHEAD_BYTES,
            is_idempotent: self.call.is_idempotent,
            is_retried_upstream: self.call.is_retried_upstream,
        }
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        attempt: u32,
        timeout: Duration,
        body: Bytes,
    ) -> backend::AttemptResult {
        let mut headers = self.call.headers.clone();
        headers.insert(ATTEMPT_HEADER, attempt.into());
        let request = backend::Request {
            id: self.id.clone(),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            headers,
            body,
        };
        self.front.backends.send(address, request, timeout).await
    }

    /// Tells the core and the time line how an attempt ended.
    fn note(&self, instance: &str, attempt: u32, how: End) {
        let end: &'static str = how.into();
        self.front.metrics.attempts.with_label_values(&[end]).inc();
        self.front.recorder.record_quietly(
            Kind::RequestSent,
            &[
                ("request", &self.id),
                ("instance", &instance),
                ("attempt", &attempt),
                ("end", &end),
            ],
        );
        let message = Message::AttemptEnd {
            key: self.key,
            end: how,
        };
        // Sending fails only during shutdown, after the core has stopped.
        let _ = self.front.inbox.send(message);
    }

    fn finish(&self, fate: Fate, last: Option<&(String, End)>) -> Reply {
        match fate {
            Fate::NotRun(refusal) => {
                response::not_run(&self.id, refusal.reason.into(), refusal.retry_after)
            }
            Fate::Unknown => {
                let status = match last {
                    Some((_, End::TimedOut)) | None => StatusCode::GATEWAY_TIMEOUT,
                    Some(_) => StatusCode::BAD_GATEWAY,
                };
                response::unknown(
                    &self.id,
                    status,
                    last.map(|(instance, _)| instance.as_str()),
                )
            }
            Fate::UnknownPool => {
                let message = format!(
                    "there is no pool {:?}; `hyssopctl pools` lists them",
                    self.call.pool
                );
                response::rejected(&self.id, &Reject::new(StatusCode::NOT_FOUND, message))
            }
            Fate::UnknownQueue => {
                let message = format!(
                    "pool {:?} has no queue {:?}",
                    self.call.pool, self.call.queue
                );
                response::rejected(&self.id, &Reject::new(StatusCode::NOT_FOUND, message))
            }
        }
    }
}
