//! Submission, cancellation and completion of jobs.

use super::{queue_entry, Scheduler};
use crate::job::{Action, Task};
use hyssop_model::job::{Record, State, Worker};
use hyssop_model::prelude::*;
use hyssop_platform::worker::Signal;

impl Scheduler {
    pub(super) fn insert(&mut self, now: Instant, record: Record, out: &mut Vec<Action>) {
        let id = record.id.clone();
        if record.state.is_final() || self.tasks.contains_key(&id) {
            return;
        }
        self.sequence += 1;
        let mut task = Task {
            team: self.quota.key(&record.team),
            worker: record
                .worker
                .as_deref()
                .map(|worker| self.inventory.key(worker)),
            reserved: record.size,
            expires_at: None,
            is_throttled: false,
            is_stopping: false,
            sequence: self.sequence,
            record,
        };
        if task.record.state.is_waiting() {
            if let Some(reason) = self.infeasibility(&task.record) {
                task.record.state = State::Failed;
                task.record.reason = reason;
                out.push(Action::Write(task.record));
                return;
            }
            self.quota.push(queue_entry(&task));
            self.dirty_pools.insert(task.record.pool.clone());
        } else {
            // The previous planner placed the job, so it may run until its lease has expired.
            let expires_at = now + self.settings.lease + self.settings.lease_slack;
            task.expires_at = Some(expires_at);
            self.expiries
                .insert((expires_at, task.sequence), id.clone());
            self.tasks.insert(id.clone(), task);
            self.allocate(&id);
            return;
        }
        self.tasks.insert(id, task);
    }

    /// Replaces the list of workers, and fails the waiting jobs that fit on none of them.
    pub(super) fn set_workers(&mut self, workers: Vec<Worker>, out: &mut Vec<Action>) {
        if !self.inventory.set_workers(workers) {
            return;
        }
        self.dirty_pools.extend(self.inventory.pools());
        let waiting = self
            .tasks
            .values()
            .filter(|task| task.record.state.is_waiting());
        let infeasible: Vec<(String, String)> = waiting
            .filter_map(|task| Some((task.record.id.clone(), self.infeasibility(&task.record)?)))
            .collect();
        for (id, reason) in infeasible {
            self.finish(&id, State::Failed, &reason, out);
        }
    }

    /// Returns why a job can never run, or `None` if it can or no worker is known.
    pub(super) fn infeasibility(&self, record: &Record) -> Option<String> {
        if self.inventory.is_empty() || self.inventory.can_ever_fit(&record.pool, &record.size) {
            return None;
        }
        Some(format!(
            "no worker of pool {} has {} thousandths of a core, {} MiB of memory and {} accelerators; request less or another pool",
            record.pool, record.size.cpu_millis, record.size.memory_mib, record.size.accelerators
        ))
    }

    pub(super) fn cancel(&mut self, id: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.record.is_cancelled = true;
        if task.record.state.is_waiting() {
            self.finish(id, State::Cancelled, "cancelled before it started", out);
            return;
        }
        out.push(Action::Write(task.record.clone()));
        if let (Some(worker), false) = (task.record.worker.clone(), task.is_stopping) {
            task.is_stopping = true;
            let job = id.to_owned();
            let signal = Signal::Stop;
            out.push(Action::Signal {
                worker,
                job,
                signal,
            });
        }
    }

    /// Moves a job to a final state and releases what it reserved.
    pub(super) fn finish(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        let was_waiting = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.state.is_waiting());
        if was_waiting {
            self.dequeue(id);
        } else {
            self.deallocate(id);
        }
        if let Some(mut task) = self.tasks.remove(id) {
            task.record.state = state;
            task.record.reason = reason.to_owned();
            out.push(Action::Write(task.record));
        }
    }

    pub(super) fn dequeue(&mut self, id: &str) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        self.quota.remove(
            task.team,
            &task.record.pool,
            task.record.class,
            task.sequence,
        );
    }

    /// Returns a job to the queue once its last run has certainly ended.
    pub(super) fn requeue(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        self.deallocate(id);
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.record.state = state;
        task.record.worker = None;
        task.record.reason = reason.to_owned();
        out.push(Action::Write(task.record.clone()));
        self.quota.push(queue_entry(task));
        self.dirty_pools.insert(task.record.pool.clone());
    }

    /// Requeues a job whose start was refused, so that it certainly did not run.
    pub(super) fn on_start_refused(&mut self, id: &str, fence: u64, out: &mut Vec<Action>) {
        let is_current = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.fence == fence && task.record.state == State::Placed);
        if is_current {
            self.requeue(id, State::Queued, "the worker refused the start", out);
        }
    }
}
