//! Handling of the platform's usage reports and of expired leases.

use super::Scheduler;
use crate::job::Action;
use hyssop_model::job::{Size, State};
use hyssop_model::prelude::*;
use hyssop_platform::worker::{Phase, Signal, Usage};

impl Scheduler {
    pub(super) fn on_usage(
        &mut self,
        now: Instant,
        wall_ms: u64,
        usages: &[Usage],
        out: &mut Vec<Action>,
    ) {
        for usage in usages {
            let is_current = self.tasks.get(&usage.task).is_some_and(|task| {
                task.record.fence == usage.fence
                    && task.record.worker.as_deref() == Some(usage.worker.as_str())
            });
            if is_current {
                self.on_task_usage(now, wall_ms, usage, out);
            }
        }
    }

    pub(super) fn on_task_usage(
        &mut self,
        now: Instant,
        wall_ms: u64,
        usage: &Usage,
        out: &mut Vec<Action>,
    ) {
        let id = usage.task.as_str();
        match usage.phase {
            Phase::Running => self.on_running(now, wall_ms, usage, out),
            Phase::Done => {
                self.attribution.on_success(&usage.worker);
                self.finish(id, State::Done, "", out);
            }
            Phase::Checkpointed => {
                self.requeue_or_cancel(id, State::Checkpointed, "preempted by an urgent job", out)
            }
            Phase::Stopped => self.on_stopped(id, out),
            Phase::Failed => self.on_failed(now, usage, out),
        }
    }

    pub(super) fn on_running(
        &mut self,
        now: Instant,
        wall_ms: u64,
        usage: &Usage,
        out: &mut Vec<Action>,
    ) {
        let settings = self.settings;
        let Some(task) = self.tasks.get_mut(&usage.task) else {
            return;
        };
        task.expires_at = Some(now + settings.lease + settings.lease_slack);
        self.profile
            .observe(&task.record.command, usage.cpu_millis, usage.memory_mib);
        if task.record.state == State::Placed {
            task.record.state = State::Running;
            task.record.lease_ends_ms = wall_ms + settings.lease.as_millis() as u64;
            out.push(Action::Write(task.record.clone()));
        }
        if !task.is_stopping {
            out.push(Action::Signal {
                worker: usage.worker.clone(),
                job: usage.task.clone(),
                signal: Signal::Renew,
            });
        }
        self.raise_reservation(usage);
    }

    /// Raises a job's reserved memory to its usage.
    pub(super) fn raise_reservation(&mut self, usage: &Usage) {
        let Some(task) = self.tasks.get_mut(&usage.task) else {
            return;
        };
        let surplus_mib = usage.memory_mib.saturating_sub(task.reserved.memory_mib);
        if surplus_mib == 0 {
            return;
        }
        let surplus = Size {
            memory_mib: surplus_mib,
            ..Size::default()
        };
        task.reserved.add(&surplus);
        if let Some(worker) = task.worker {
            self.inventory.reserve(worker, &surplus);
            self.quota.charge(task.team, &surplus);
        }
    }

    pub(super) fn requeue_or_cancel(
        &mut self,
        id: &str,
        state: State,
        reason: &str,
        out: &mut Vec<Action>,
    ) {
        let is_cancelled = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_cancelled);
        if is_cancelled {
            self.finish(id, State::Cancelled, "cancelled while it ran", out);
        } else {
            self.requeue(id, state, reason, out);
        }
    }

    /// Handles a job that was stopped from outside. Only an idempotent one is restarted.
    pub(super) fn on_stopped(&mut self, id: &str, out: &mut Vec<Action>) {
        let is_idempotent = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_idempotent);
        let is_cancelled = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_cancelled);
        if is_idempotent || is_cancelled {
            self.requeue_or_cancel(id, State::Queued, "it was stopped and is restarted", out);
        } else {
            let reason = "it was stopped after it had started, and is not idempotent; check its effects before submitting it again";
            self.finish(id, State::Failed, reason, out);
        }
    }

    pub(super) fn on_failed(&mut self, now: Instant, usage: &Usage, out: &mut Vec<Action>) {
        let id = usage.task.as_str();
        if self
            .attribution
            .on_failure(now, &usage.worker, id, &self.settings)
        {
            let worker = self.inventory.key(&usage.worker);
            self.inventory.set_schedulable(worker, false);
            out.push(Action::Suspect {
                worker: usage.worker.clone(),
            });
        }
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if !task.record.failed_on.contains(&usage.worker) {
            task.record.failed_on.push(usage.worker.clone());
        }
        let failures = task.record.failed_on.len();
        if !task.record.is_idempotent {
            self.finish(id, State::Failed, "it failed, and is not idempotent", out);
        } else if failures >= self.settings.job_failure_threshold {
            let reason = format!("it failed on {failures} workers; check its command");
            self.finish(id, State::Failed, &reason, out);
        } else {
            self.requeue(
                id,
                State::Queued,
                "it failed and is retried on another worker",
                out,
            );
        }
    }

    /// Requeues or fails the jobs whose lease has certainly expired without a report.
    pub(super) fn expire_leases(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut expired: Vec<(String, State)> = Vec::new();
        while let Some(entry) = self.expiries.first_entry() {
            let (at, sequence) = *entry.key();
            if at > now {
                break;
            }
            let id = entry.remove();
            let Some(task) = self.tasks.get(&id) else {
                continue;
            };
            match task.expires_at {
                // The lease was renewed in the meantime.
                Some(expires_at) if expires_at > now => {
                    self.expiries.insert((expires_at, sequence), id);
                }
                Some(_) => expired.push((id, task.record.state)),
                None => {}
            }
        }
        for (id, state) in expired {
            let is_idempotent = self
                .tasks
                .get(&id)
                .is_some_and(|task| task.record.is_idempotent);
            if is_idempotent {
                self.requeue_or_cancel(&id, State::Queued, "its worker was lost", out);
            } else {
                let reason = match state {
                    State::Placed => {
                        "its start was not confirmed; it may have run, and is not idempotent"
                    }
                    _ => "its worker was lost while it ran, and it is not idempotent",
                };
                self.finish(&id, State::Failed, reason, out);
            }
        }
    }
}
