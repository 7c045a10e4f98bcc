//! What follows from the end of an attempt.

use super::{push_sends, waiting, Dispatcher};
use crate::admission::Reason;
use crate::attempt::{End, Verdict};
use crate::dispatch::{Action, Fate};
use crate::slot;
use hyssop_model::prelude::*;

impl Dispatcher {
    pub(super) fn end(&mut self, now: Instant, key: request::Key, end: End, out: &mut Vec<Action>) {
        let Some(running) = self.requests.get_mut(&key) else {
            return;
        };
        let Some((grant, started)) = running.attempt.take() else {
            return;
        };
        let pool = running.pool;
        running.may_have_run |= !end.is_certainly_not_run();
        running.avoid.instances.insert(grant.instance);
        if let Some(record) = self.allocator.instance(grant.instance) {
            running.avoid.racks.insert(record.rack.clone());
        }
        let took = now.saturating_duration_since(started);
        if let Some(workload) = self.workloads.get_mut(&pool) {
            workload.count_end(running.flow, running.arrival.class);
            if end == (End::Answered { is_error: false }) {
                workload.learn_service(running.flow, took);
            }
        }
        if let Some(sample) = end.sample(took) {
            self.health.observe(grant.instance, sample);
            if !sample.is_good() {
                self.judge_health(now, out);
            }
        }
        if end.may_still_run() {
            self.cooling
                .insert((now + self.settings.slot.cooldown, grant));
        } else {
            self.release(now, grant, out);
        }
        self.conclude(now, key, end, out);
        self.pump(now, pool, out);
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

    /// Ends a request after an attempt, or queues it for another one.
    pub(super) fn conclude(
        &mut self,
        now: Instant,
        key: request::Key,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.requests.get(&key) else {
            return;
        };
        match Verdict::decide(end, running.arrival.is_idempotent) {
            Verdict::Finish(Outcome::Answered) => {
                self.requests.remove(&key);
            }
            Verdict::Finish(_) => {
                self.requests.remove(&key);
                out.push(Action::Finish {
                    key,
                    fate: Fate::Unknown,
                });
            }
            Verdict::Retry => self.retry(now, key, out),
        }
    }

    pub(super) fn retry(&mut self, now: Instant, key: request::Key, out: &mut Vec<Action>) {
        let Some(running) = self.requests.get(&key) else {
            return;
        };
        let Some(workload) = self.workloads.get_mut(&running.pool) else {
            return;
        };
        let is_permitted = !running.arrival.is_retried_upstream
            && now < running.arrival.deadline
            && workload.retries.try_acquire();
        if is_permitted {
            workload.queue.push(waiting(key, running));
        } else {
            self.give_up_waiting(key, Reason::RetriesExhausted, out);
        }
    }
}
