//! Requests from their arrival to the start of an attempt.

use super::{waiting_request, Dispatcher};
use crate::admission::{Reason, Refusal};
use crate::attempt::Verdict;
use crate::dispatch::{Action, Arrival, Failure, Request};
use crate::slot::{self, AntiAffinity};
use hyssop_model::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let key = arrival.key;
        let Some(pool) = self
            .pools
            .find(&arrival.pool)
            .filter(|pool| self.workloads.contains_key(pool))
        else {
            out.push(Action::Finish {
                key,
                failure: Failure::UnknownPool,
            });
            return;
        };
        let flow = self
            .workloads
            .get(&pool)
            .and_then(|workload| workload.flow(&arrival.queue));
        let Some(flow) = flow else {
            out.push(Action::Finish {
                key,
                failure: Failure::UnknownQueue,
            });
            return;
        };
        if let Some(refusal) = self.check_admission(now, &arrival, pool, flow) {
            out.push(Action::Finish {
                key,
                failure: Failure::NotRun(refusal),
            });
            return;
        }
        let request = Request {
            arrival,
            pool,
            flow,
            arrived_at: now,
            attempt: None,
            attempts: 0,
            may_have_run: false,
            avoid: AntiAffinity::default(),
        };
        if let Some(workload) = self.workloads.get_mut(&pool) {
            workload.retries.on_request();
            workload.queue.push(waiting_request(key, &request));
        }
        self.requests.insert(key, request);
        self.dispatch(now, pool, out);
    }

    /// Returns the refusal of a new request that can't be admitted, or `None` if it is admitted.
    pub(super) fn check_admission(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        pool: pool::Key,
        flow: flow::Key,
    ) -> Option<Refusal> {
        let workload = self.workloads.get(&pool)?;
        let usable = self.allocator.usable(&workload.pool.name);
        let wait = workload.projected_wait(flow, arrival.class, usable);
        let reason = if self.is_closed {
            Reason::Stopping
        } else if self.allocator.total(&workload.pool.name) == 0 {
            Reason::NoInstance
        } else if workload.queue.bytes() + arrival.bytes > workload.pool.queue_bytes {
            Reason::QueueFull
        } else if now + wait + workload.service_time(flow).upper_bound() > arrival.deadline {
            Reason::WouldMissDeadline
        } else {
            return None;
        };
        Some(self.new_refusal(reason, wait))
    }

    /// Creates a refusal. Its `retry_after` is one to two times the wait, at least one second, with
    /// jitter so that callers don't retry all at once.
    pub(super) fn new_refusal(&mut self, reason: Reason, wait: Duration) -> Refusal {
        const MIN_WAIT: Duration = Duration::from_secs(1);
        self.jitter_draws = self.jitter_draws.wrapping_add(1);
        let fraction = xxh3_64(&self.jitter_draws.to_le_bytes()) as f64 / u64::MAX as f64;
        Refusal {
            reason,
            retry_after: wait.max(MIN_WAIT).mul_f64(1.0 + fraction),
        }
    }

    pub(super) fn dispatch_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let pools: Vec<pool::Key> = self.workloads.keys().copied().collect();
        for pool in pools {
            self.dispatch(now, pool, out);
        }
    }

    /// Starts waiting requests of a pool while slots are free, then reports demand and lends spare
    /// slots.
    pub(super) fn dispatch(&mut self, now: Instant, pool: pool::Key, out: &mut Vec<Action>) {
        while self.start_next(now, pool, out) {}
        self.report_demand(now, pool, false, out);
        self.lend_spare(now, pool, None, out);
    }

    pub(super) fn start_next(
        &mut self,
        now: Instant,
        pool: pool::Key,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(workload) = self.workloads.get(&pool) else {
            return false;
        };
        let Some(first) = workload.queue.peek(&workload.usage) else {
            return false;
        };
        let (key, avoid) = (first.key, first.avoid.clone());
        if now + workload.service_time(first.flow).upper_bound() > first.deadline {
            self.abandon(key, Reason::WouldMissDeadline, out);
            return true;
        }
        // After a pause of the process or a network partition, another entry may own the slots.
        if self.authority.is_none_or(|until| now >= until) {
            return false;
        }
        let is_over_share = workload.in_flight() >= self.own_slots(workload)
            && self.allocator.unmet(&workload.pool.name) > 0;
        if is_over_share {
            return false;
        }
        let pool_name = workload.pool.name.clone();
        let Some(grant) = self.acquire(now, &pool_name, &avoid) else {
            return false;
        };
        self.start(now, key, grant, out);
        true
    }

    /// Acquires a slot of a pool. An instance in `avoid` is used only if no other one has a free
    /// slot, because a retry that kept waiting would block its whole lane.
    pub(super) fn acquire(
        &mut self,
        now: Instant,
        pool: &str,
        avoid: &AntiAffinity,
    ) -> Option<slot::Grant> {
        let grant = self.allocator.acquire(now, pool, avoid);
        if grant.is_some() || avoid.is_empty() {
            return grant;
        }
        self.allocator.acquire(now, pool, &AntiAffinity::default())
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        key: request::Key,
        grant: slot::Grant,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.attempt = Some((grant, now));
        request.attempts += 1;
        let Some(workload) = self.workloads.get_mut(&request.pool) else {
            return;
        };
        workload.queue.remove(key);
        workload.record_start(request.flow, request.arrival.class);
        let remaining = request.arrival.deadline.saturating_duration_since(now);
        out.push(Action::Start {
            key,
            grant,
            attempt: request.attempts,
            timeout: remaining.min(workload.pool.answer_timeout),
            send_by: self.authority.unwrap_or(now),
        });
    }

    /// Finishes a waiting request without another attempt.
    pub(super) fn abandon(&mut self, key: request::Key, reason: Reason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        if let Some(workload) = self.workloads.get_mut(&request.pool) {
            workload.queue.remove(key);
        }
        let failure = match Verdict::outcome_without_retry(request.may_have_run) {
            Outcome::NotRun => Failure::NotRun(self.new_refusal(reason, Duration::ZERO)),
            _ => Failure::Unknown,
        };
        out.push(Action::Finish { key, failure });
    }

    /// Removes a waiting request. An attempt in flight continues.
    pub(super) fn cancel(&mut self, key: request::Key) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if request.attempt.is_some() {
            return;
        }
        let pool = request.pool;
        if let Some(workload) = self.workloads.get_mut(&pool) {
            workload.queue.remove(key);
        }
        self.requests.remove(&key);
    }

    pub(super) fn expire(&mut self, now: Instant, pool: pool::Key, out: &mut Vec<Action>) {
        let Some(workload) = self.workloads.get_mut(&pool) else {
            return;
        };
        for waiting in workload.queue.expire(now) {
            self.abandon(waiting.key, Reason::DeadlinePassed, out);
        }
    }
}
