//! Ends of attempts: slots, health samples and retries.

use super::{push_sends, waiting_request, Dispatcher};
use crate::admission::Reason;
use crate::attempt::{End, Verdict};
use crate::dispatch::{Action, Failure};
use crate::slot;
use hyssop_model::prelude::*;

impl Dispatcher {
    pub(super) fn on_attempt_end(
        &mut self,
        now: Instant,
        key: request::Key,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some((grant, started_at)) = request.attempt.take() else {
            return;
        };
        let pool = request.pool;
        request.may_have_run |= !end.is_certainly_not_run();
        request.avoid.instances.insert(grant.instance);
        if let Some(record) = self.allocator.instance(grant.instance) {
            request.avoid.racks.insert(record.rack.clone());
        }
        let elapsed = now.saturating_duration_since(started_at);
        if let Some(workload) = self.workloads.get_mut(&pool) {
            workload.record_end(request.flow, request.arrival.class);
            if end == (End::Answered { is_error: false }) {
                workload.record_service_time(request.flow, elapsed);
            }
        }
        if let Some(sample) = end.sample(elapsed) {
            self.health.observe(grant.instance, sample);
            if !sample.is_good() {
                self.update_health(now, out);
            }
        }
        if end.may_still_run() {
            self.cooling
                .insert((now + self.settings.slot.cooldown, grant));
        } else {
            self.release(now, grant, out);
        }
        self.resolve(now, key, end, out);
        self.dispatch(now, pool, out);
    }

    pub(super) fn release(&mut self, now: Instant, grant: slot::Grant, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.allocator.release(now, grant, &mut actions);
        push_sends(actions, out);
    }

    pub(super) fn release_cooled(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((until, grant)) = self.cooling.first().copied() {
            if until > now {
                return;
            }
            self.cooling.pop_first();
            self.release(now, grant, out);
        }
    }

    /// Finishes a request after an attempt, or queues it for a retry.
    pub(super) fn resolve(
        &mut self,
        now: Instant,
        key: request::Key,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        match Verdict::decide(end, request.arrival.is_idempotent) {
            Verdict::Finish(Outcome::Answered) => {
                self.requests.remove(&key);
            }
            Verdict::Finish(_) => {
                self.requests.remove(&key);
                out.push(Action::Finish {
                    key,
                    failure: Failure::Unknown,
                });
            }
            Verdict::Retry => self.retry(now, key, out),
        }
    }

    pub(super) fn retry(&mut self, now: Instant, key: request::Key, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let Some(workload) = self.workloads.get_mut(&request.pool) else {
            return;
        };
        let is_permitted = !request.arrival.is_retried_upstream
            && now < request.arrival.deadline
            && workload.retries.try_acquire();
        if is_permitted {
            workload.queue.push(waiting_request(key, request));
        } else {
            self.abandon(key, Reason::RetriesExhausted, out);
        }
    }
}
