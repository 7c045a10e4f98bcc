//! What becomes of a request until it starts.

use super::{waiting, Dispatcher};
use crate::admission::{Reason, Refusal};
use crate::attempt::Verdict;
use crate::dispatch::{Action, Arrival, Fate, Running};
use crate::slot::{self, AntiAffinity};
use hyssop_model::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

impl Dispatcher {
    pub(super) fn arrive(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let key = arrival.key;
        let Some(pool) = self
            .pools
            .find(&arrival.pool)
            .filter(|pool| self.workloads.contains_key(pool))
        else {
            out.push(Action::Finish {
                key,
                fate: Fate::UnknownPool,
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
                fate: Fate::UnknownQueue,
            });
            return;
        };
        if let Some(refusal) = self.check(now, &arrival, pool, flow) {
            out.push(Action::Finish {
                key,
                fate: Fate::NotRun(refusal),
            });
            return;
        }
        let running = Running {
            arrival,
            pool,
            flow,
            arrived: now,
            attempt: None,
            attempts: 0,
            may_have_run: false,
            avoid: AntiAffinity::default(),
        };
        if let Some(workload) = self.workloads.get_mut(&pool) {
            workload.retries.on_request();
            workload.queue.push(waiting(key, &running));
        }
        self.requests.insert(key, running);
        self.pump(now, pool, out);
    }

    /// Returns why a new request is refused at once, if it is.
    pub(super) fn check(
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
        } else if now + wait + workload.service(flow).bound() > arrival.deadline {
            Reason::WouldMissDeadline
        } else {
            return None;
        };
        Some(self.refuse(reason, wait))
    }

    /// Makes a refusal whose time to come back is spread over once to twice the wait.
    pub(super) fn refuse(&mut self, reason: Reason, wait: Duration) -> Refusal {
        const SHORTEST: Duration = Duration::from_secs(1);
        self.draws = self.draws.wrapping_add(1);
        let part = xxh3_64(&self.draws.to_le_bytes()) as f64 / u64::MAX as f64;
        Refusal {
            reason,
            retry_after: wait.max(SHORTEST).mul_f64(1.0 + part),
        }
    }

    pub(super) fn pump_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        let pools: Vec<pool::Key> = self.workloads.keys().copied().collect();
        for pool in pools {
            self.pump(now, pool, out);
        }
    }

    /// Starts the requests of a pool that slots are free for, then tells and lends.
    pub(super) fn pump(&mut self, now: Instant, pool: pool::Key, out: &mut Vec<Action>) {
        while self.start_next(now, pool, out) {}
        self.tell_demand(now, pool, false, out);
        self.offer(now, pool, None, out);
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
        let Some(first) = workload.queue.peek(&workload.view) else {
            return false;
        };
        let (key, avoid) = (first.key, first.avoid.clone());
        if now + workload.service(first.flow).bound() > first.deadline {
            self.give_up_waiting(key, Reason::WouldMissDeadline, out);
            return true;
        }
        // Another entry may have the slots of one that was paused or cut off.
        if self.authority.is_none_or(|until| now >= until) {
            return false;
        }
        let is_over_due = workload.in_flight() >= self.keep(workload)
            && self.allocator.unmet(&workload.pool.name) > 0;
        if is_over_due {
            return false;
        }
        let pool_name = workload.pool.name.clone();
        let Some(grant) = self.acquire(now, &pool_name, &avoid) else {
            return false;
        };
        self.start(now, key, grant, out);
        true
    }

    /// Takes a slot, on an instance to avoid only when no other has a free one: a retry that holds
    /// back would hold back its whole lane.
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
        let Some(running) = self.requests.get_mut(&key) else {
            return;
        };
        running.attempt = Some((grant, now));
        running.attempts += 1;
        let Some(workload) = self.workloads.get_mut(&running.pool) else {
            return;
        };
        workload.queue.remove(key);
        workload.count_start(running.flow, running.arrival.class);
        let left = running.arrival.deadline.saturating_duration_since(now);
        out.push(Action::Start {
            key,
            grant,
            attempt: running.attempts,
            timeout: left.min(workload.pool.answer_timeout),
            send_by: self.authority.unwrap_or(now),
        });
    }

    /// Ends a waiting request without another attempt.
    pub(super) fn give_up_waiting(
        &mut self,
        key: request::Key,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.requests.remove(&key) else {
            return;
        };
        if let Some(workload) = self.workloads.get_mut(&running.pool) {
            workload.queue.remove(key);
        }
        let fate = match Verdict::outcome_without_retry(running.may_have_run) {
            Outcome::NotRun => Fate::NotRun(self.refuse(reason, Duration::ZERO)),
            _ => Fate::Unknown,
        };
        out.push(Action::Finish { key, fate });
    }

    /// Forgets a request that has not started; one that has goes on to its end.
    pub(super) fn cancel(&mut self, key: request::Key) {
        let Some(running) = self.requests.get(&key) else {
            return;
        };
        if running.attempt.is_some() {
            return;
        }
        let pool = running.pool;
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
            self.give_up_waiting(waiting.key, Reason::DeadlinePassed, out);
        }
    }
}
