//! What the platform reports of running jobs.

use super::Scheduler;
use crate::job::Action;
use hyssop_model::job::{Size, State};
use hyssop_model::prelude::*;
use hyssop_platform::worker::{Phase, Signal, Usage};

impl Scheduler {
    pub(super) fn hear_usage(
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
                self.hear_task(now, wall_ms, usage, out);
            }
        }
    }

    pub(super) fn hear_task(
        &mut self,
        now: Instant,
        wall_ms: u64,
        usage: &Usage,
        out: &mut Vec<Action>,
    ) {
        let id = usage.task.as_str();
        match usage.phase {
            Phase::Running => self.hear_running(now, wall_ms, usage, out),
            Phase::Done => {
                self.attribution.succeed(&usage.worker);
                self.finish(id, State::Done, "", out);
            }
            Phase::Checkpointed => {
                self.after_end(id, State::Checkpointed, "made room for urgent work", out)
            }
            Phase::Stopped => self.after_stop(id, out),
            Phase::Failed => self.after_failure(now, usage, out),
        }
    }

    pub(super) fn hear_running(
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
        task.over_at = Some(now + settings.lease + settings.lease_slack);
        self.profile
            .observe(&task.record.command, usage.cpu_millis, usage.memory_mib);
        if task.record.state == State::Placed {
            task.record.state = State::Running;
            task.record.lease_ends_ms = wall_ms + settings.lease.as_millis() as u64;
            out.push(Action::Write(task.record.clone()));
        }
        if !task.is_ending {
            out.push(Action::Signal {
                worker: usage.worker.clone(),
                job: usage.task.clone(),
                signal: Signal::Renew,
            });
        }
        self.correct(usage);
    }

    /// Raises a task's reserved memory to what it uses.
    pub(super) fn correct(&mut self, usage: &Usage) {
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

    pub(super) fn after_end(
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
            self.finish(id, State::Cancelled, "withdrawn while it ran", out);
        } else {
            self.requeue(id, state, reason, out);
        }
    }

    /// Decides on a job that was ended from outside: only an idempotent one starts again.
    pub(super) fn after_stop(&mut self, id: &str, out: &mut Vec<Action>) {
        let is_repeatable = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_idempotent);
        let is_cancelled = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.is_cancelled);
        if is_repeatable || is_cancelled {
            self.after_end(id, State::Queued, "it was stopped and starts again", out);
        } else {
            let reason = "it was stopped after it had started, and is not idempotent; look before you submit it again";
            self.finish(id, State::Failed, reason, out);
        }
    }

    pub(super) fn after_failure(&mut self, now: Instant, usage: &Usage, out: &mut Vec<Action>) {
        let id = usage.task.as_str();
        if self
            .attribution
            .fail(now, &usage.worker, id, &self.settings)
        {
            let worker = self.inventory.key(&usage.worker);
            self.inventory.set_open(worker, false);
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
        } else if failures >= self.settings.failures_of_job {
            let reason = format!("it failed on {failures} workers; look at its command");
            self.finish(id, State::Failed, &reason, out);
        } else {
            self.requeue(
                id,
                State::Queued,
                "it failed and is tried on another worker",
                out,
            );
        }
    }

    /// Decides on jobs whose lease is certainly over without a word of them.
    pub(super) fn end_lapsed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut lapsed: Vec<(String, State)> = Vec::new();
        while let Some(entry) = self.lapses.first_entry() {
            let (at, sequence) = *entry.key();
            if at > now {
                break;
            }
            let id = entry.remove();
            let Some(task) = self.tasks.get(&id) else {
                continue;
            };
            match task.over_at {
                // The lease was renewed meanwhile.
                Some(over_at) if over_at > now => {
                    self.lapses.insert((over_at, sequence), id);
                }
                Some(_) => lapsed.push((id, task.record.state)),
                None => {}
            }
        }
        for (id, state) in lapsed {
            let is_repeatable = self
                .tasks
                .get(&id)
                .is_some_and(|task| task.record.is_idempotent);
            if is_repeatable {
                self.after_end(&id, State::Queued, "its worker was lost", out);
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
