//! What waits: submission, withdrawal and ends.

use super::{place_of, Scheduler};
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
            over_at: None,
            is_throttled: false,
            is_ending: false,
            sequence: self.sequence,
            record,
        };
        if task.record.state.is_waiting() {
            if let Some(reason) = self.impossible(&task.record) {
                task.record.state = State::Failed;
                task.record.reason = reason;
                out.push(Action::Write(task.record));
                return;
            }
            self.quota.push(place_of(&task));
            self.dirty.insert(task.record.pool.clone());
        } else {
            // It was placed by an earlier planner; it may run until its lease is over.
            let over_at = now + self.settings.lease + self.settings.lease_slack;
            task.over_at = Some(over_at);
            self.lapses.insert((over_at, task.sequence), id.clone());
            self.tasks.insert(id.clone(), task);
            self.hold(&id);
            return;
        }
        self.tasks.insert(id, task);
    }

    /// Takes in the workers, and ends the waiting jobs that none of them could run.
    pub(super) fn set_workers(&mut self, workers: Vec<Worker>, out: &mut Vec<Action>) {
        if !self.inventory.set_workers(workers) {
            return;
        }
        self.dirty.extend(self.inventory.pools());
        let waiting = self
            .tasks
            .values()
            .filter(|task| task.record.state.is_waiting());
        let impossible: Vec<(String, String)> = waiting
            .filter_map(|task| Some((task.record.id.clone(), self.impossible(&task.record)?)))
            .collect();
        for (id, reason) in impossible {
            self.finish(&id, State::Failed, &reason, out);
        }
    }

    /// Returns why a job can never run, if it can't.
    pub(super) fn impossible(&self, record: &Record) -> Option<String> {
        if self.inventory.is_empty() || self.inventory.could_hold(&record.pool, &record.size) {
            return None;
        }
        Some(format!(
            "no worker of pool {} has {} thousandths of a core, {} MiB and {} accelerators; ask for less or another pool",
            record.pool, record.size.cpu_millis, record.size.memory_mib, record.size.accelerators
        ))
    }

    pub(super) fn cancel(&mut self, id: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.record.is_cancelled = true;
        if task.record.state.is_waiting() {
            self.finish(id, State::Cancelled, "withdrawn before it started", out);
            return;
        }
        out.push(Action::Write(task.record.clone()));
        if let (Some(worker), false) = (task.record.worker.clone(), task.is_ending) {
            task.is_ending = true;
            let job = id.to_owned();
            let signal = Signal::Stop;
            out.push(Action::Signal {
                worker,
                job,
                signal,
            });
        }
    }

    /// Ends a job for good.
    pub(super) fn finish(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        let was_waiting = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.state.is_waiting());
        if was_waiting {
            self.leave_queue(id);
        } else {
            self.let_go(id);
        }
        if let Some(mut task) = self.tasks.remove(id) {
            task.record.state = state;
            task.record.reason = reason.to_owned();
            out.push(Action::Write(task.record));
        }
    }

    pub(super) fn leave_queue(&mut self, id: &str) {
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

    /// Puts a job whose last start is certainly over back into the queue.
    pub(super) fn requeue(&mut self, id: &str, state: State, reason: &str, out: &mut Vec<Action>) {
        self.let_go(id);
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.record.state = state;
        task.record.worker = None;
        task.record.reason = reason.to_owned();
        out.push(Action::Write(task.record.clone()));
        self.quota.push(place_of(task));
        self.dirty.insert(task.record.pool.clone());
    }

    /// Takes back a start that certainly did not run.
    pub(super) fn take_back(&mut self, id: &str, fence: u64, out: &mut Vec<Action>) {
        let is_current = self
            .tasks
            .get(id)
            .is_some_and(|task| task.record.fence == fence && task.record.state == State::Placed);
        if is_current {
            self.requeue(id, State::Queued, "the worker refused the start", out);
        }
    }
}
