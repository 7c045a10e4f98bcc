use super::call::{Call, ATTEMPT_HEADER};
use super::claim;
use super::rejection::Rejection;
use super::response::{self, Reply};
use super::server::Frontend;
use crate::backend;
use crate::core::{Decision, Inbox, Message};
use bytes::Bytes;
use hyper::StatusCode;
use hyssop_event::Kind;
use hyssop_model::request;
use hyssop_policy::attempt::End;
use hyssop_policy::dispatch::{Arrival, Failure};
use hyssop_wire::claim::Verdict;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Sends the core a cancellation when it is dropped before its request has completed, which is when
/// the caller disconnects.
struct CancelGuard {
    inbox: Inbox,
    key: request::Key,
    is_complete: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            // Sending fails only during shutdown, after the core has stopped.
            let _ = self.inbox.send(Message::Cancel(self.key));
        }
    }
}

/// Runs a call through the queue and its attempts, and returns the response.
///
/// The work runs in a spawned task, which continues when the caller disconnects. The slot thus
/// stays in use as long as the backend server works, and the result of every attempt is recorded.
pub(crate) async fn run(
    frontend: Arc<Frontend>,
    number: u64,
    id: String,
    call: Call,
    body: Bytes,
    started: Instant,
) -> Reply {
    let key = request::Key(number);
    let mut cancel_guard = CancelGuard {
        inbox: frontend.inbox.clone(),
        key,
        is_complete: false,
    };
    let request = id.clone();
    let task = tokio::spawn(async move {
        Task {
            frontend,
            key,
            id,
            call,
        }
        .execute(body, started)
        .await
    });
    let reply = task.await;
    cancel_guard.is_complete = true;
    reply.unwrap_or_else(|_| response::unknown(&request, StatusCode::GATEWAY_TIMEOUT, None))
}

/// A call that the core schedules.
struct Task {
    frontend: Arc<Frontend>,
    key: request::Key,
    id: String,
    call: Call,
}

impl Task {
    /// Claims the request if it has a key to claim, runs it, and completes the claim with the
    /// result.
    async fn execute(self, body: Bytes, started: Instant) -> Reply {
        let Some(key) = self.call.key_to_claim().map(str::to_owned) else {
            return self.execute_granted(body, started).await;
        };
        let verdict = self.claim(key, &body).await;
        if let Some(reply) = claim::refusal(&self.id, &verdict) {
            return reply;
        }
        let mut reply = self.execute_granted(body, started).await;
        let end = claim::claim_end(&mut reply).await;
        // Sending fails only during shutdown, after the core has stopped.
        let _ = self.frontend.inbox.send(Message::CompleteClaim {
            request: self.key,
            end,
        });
        reply
    }

    /// Sends the claim to the core and waits for the verdict.
    async fn claim(&self, key: String, body: &Bytes) -> Verdict {
        let (reply, verdict) = flume::bounded(1);
        let message = Message::Claim {
            request: self.key,
            key,
            fingerprint: claim::fingerprint(&self.call, body),
            reply,
        };
        if self.frontend.inbox.send(message).is_err() {
            return Verdict::NotNow;
        }
        verdict.recv_async().await.unwrap_or(Verdict::NotNow)
    }

    /// Queues the request and executes the decisions of the core until the response is known.
    async fn execute_granted(&self, body: Bytes, started: Instant) -> Reply {
        let (decision_sender, decisions) = flume::unbounded();
        let arrival = self.arrival(body.len(), started);
        if self
            .frontend
            .inbox
            .send(Message::Arrival(arrival, decision_sender))
            .is_err()
        {
            return response::not_run(&self.id, "stopping", Duration::from_secs(1));
        }
        let mut last: Option<(String, End)> = None;
        while let Ok(decision) = decisions.recv_async().await {
            match decision {
                Decision::Finish(failure) => return self.finish(failure, last.as_ref()),
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
                    self.report_attempt(&instance, attempt, result.end);
                    let end = result.end;
                    if let Some(response) = result.response {
                        return response::answered(&self.id, &instance, response);
                    }
                    last = Some((instance, end));
                }
            }
        }
        // The core dropped the request because its caller disconnected while it was queued.
        response::not_run(&self.id, "caller-left", Duration::from_secs(1))
    }

    fn arrival(&self, body_bytes: usize, started: Instant) -> Arrival {
        const REQUEST_OVERHEAD_BYTES: u64 = 1024;
        Arrival {
            key: self.key,
            pool: self.call.pool.clone(),
            queue: self.call.queue.clone(),
            class: self.call.class,
            deadline: started + self.call.caller_timeout,
            bytes: body_bytes as u64 + REQUEST_OVERHEAD_BYTES,
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
        self.frontend.backends.send(address, request, timeout).await
    }

    /// Reports the result of an attempt to the core, the metrics and the recorder.
    fn report_attempt(&self, instance: &str, attempt: u32, result: End) {
        let end: &'static str = result.into();
        self.frontend
            .metrics
            .attempts
            .with_label_values(&[end])
            .inc();
        self.frontend.recorder.record_unlogged(
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
            end: result,
        };
        // Sending fails only during shutdown, after the core has stopped.
        let _ = self.frontend.inbox.send(message);
    }

    /// Returns the response to a request that the core ended without one.
    fn finish(&self, failure: Failure, last: Option<&(String, End)>) -> Reply {
        match failure {
            Failure::NotRun(refusal) => {
                response::not_run(&self.id, refusal.reason.into(), refusal.retry_after)
            }
            Failure::Unknown => {
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
            Failure::UnknownPool => {
                let message = format!(
                    "there is no pool {:?}; `hyssopctl pools` lists them",
                    self.call.pool
                );
                response::rejected(&self.id, &Rejection::new(StatusCode::NOT_FOUND, message))
            }
            Failure::UnknownQueue => {
                let message = format!(
                    "pool {:?} has no queue {:?}",
                    self.call.pool, self.call.queue
                );
                response::rejected(&self.id, &Rejection::new(StatusCode::NOT_FOUND, message))
            }
        }
    }
}
