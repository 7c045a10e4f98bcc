use super::{TaskKey, WorkerKey};
use std::time::Duration;

/// The interval of log lines about refused jobs.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// How long the service is left alone after a failed request, for example when it was too busy.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The requests of one pool to the advice service.
///
/// The load is more steps than the service can answer in time. A ticket is valid for a short time, so
/// one that was requested long before its step's turn is of no use. One request is therefore unanswered
/// at a time, and the step of the next one is chosen when it can be sent.
#[derive(Clone, Debug, Default)]
pub(in crate::owner) struct Requests {
    pub(super) unanswered: Option<Unanswered>,
    /// The most urgent request of the present placement pass.
    pub(super) next: Option<Wanted>,
    /// The number of steps that lacked a ticket in the last placement pass.
    pub(super) waiting_steps: usize,
    /// The number of jobs accepted since.
    pub(super) new_jobs: usize,
    /// The earliest time of the next request.
    pub(super) retry_at: Duration,
    /// The number of requests that have failed since the last answer.
    pub(super) failures: u32,
    /// How long the service took for the last answer; `None` before the first.
    pub(super) answer_time: Option<Duration>,
    /// The number of jobs refused since the last log line.
    refused: u64,
    refusals_logged_at: Option<Duration>,
}

/// A request without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Unanswered {
    pub(super) step: TaskKey,
    /// The workers that the request names; none before it is sent.
    pub(super) workers: Vec<WorkerKey>,
    /// When it was sent.
    pub(super) sent_at: Duration,
    /// The time that the service is configured to take for it.
    pub(super) service_time: Duration,
}

/// A request that a step needs.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) urgency: Urgency,
    pub(super) step: TaskKey,
    pub(super) workers: Vec<WorkerKey>,
}

/// The order of requests; the lowest comes first, of equal ones that of the step placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Whether the step could not start yet, for want of free capacity.
    pub(super) lacks_room: bool,
    /// The number of its requests that led to no start. Steps whose tickets expire or are rejected
    /// each time would otherwise take the service from all that come after them.
    pub(super) fruitless_requests: u32,
}

impl Urgency {
    /// The urgency that no other exceeds.
    pub(super) const HIGHEST: Self = Self {
        lacks_room: false,
        fruitless_requests: 0,
    };
}

impl Requests {
    /// Begins a placement pass.
    pub(super) fn begin_pass(&mut self) {
        self.next = None;
        self.waiting_steps = 0;
        self.new_jobs = 0;
    }

    /// Returns whether a request with this urgency would be the next one.
    pub(super) fn is_more_urgent(&self, urgency: Urgency) -> bool {
        self.next.as_ref().is_none_or(|next| urgency < next.urgency)
    }

    /// Counts a refused job; returns how many were refused since the last log line if the next is due.
    pub(super) fn count_refusal(&mut self, now: Duration) -> Option<u64> {
        self.refused += 1;
        let logged_at = self.refusals_logged_at;
        if logged_at.is_some_and(|at| now.saturating_sub(at) < LINE_INTERVAL) {
            return None;
        }
        self.refusals_logged_at = Some(now);
        Some(std::mem::take(&mut self.refused))
    }

    /// Records that the unanswered request has failed.
    pub(super) fn on_failure(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + RETRY_DELAY;
    }

    /// Records that the service has answered a request sent at `sent_at`.
    pub(super) fn on_answer(&mut self, sent_at: Duration, now: Duration) {
        self.failures = 0;
        self.answer_time = Some(now.saturating_sub(sent_at));
    }
}
