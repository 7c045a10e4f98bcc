//! Preemption of deferrable jobs by urgent jobs on full workers.

use super::{size_to_reserve, Scheduler};
use crate::job::inventory;
use crate::job::Action;
use hyssop_model::job::Size;
use hyssop_model::prelude::*;
use hyssop_platform::worker::Signal;

impl Scheduler {
    /// Frees capacity for an urgent job on the first worker on which that is possible, the fullest
    /// first, so that little deferrable work yields.
    ///
    /// Frees CPU by throttling, or else memory and accelerators by checkpoints, unless jobs that are
    /// already stopping will free enough.
    pub(super) fn preempt(&mut self, id: &str, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let pool = task.record.pool.clone();
        let need = size_to_reserve(&self.profile, &self.inventory, &self.settings, &task.record);
        let workers: Vec<inventory::Key> = self
            .inventory
            .schedulable_workers(&pool)
            .take(self.settings.max_candidates)
            .collect();
        for worker in &workers {
            if self.throttle(*worker, &need, out) {
                return;
            }
        }
        let is_pending = workers
            .iter()
            .any(|worker| self.is_preemption_pending(*worker, &need));
        if is_pending {
            return;
        }
        for worker in &workers {
            if self.checkpoint(*worker, &need, out) {
                return;
            }
        }
    }

    pub(super) fn deferrable_on(&self, worker: inventory::Key) -> Vec<String> {
        let jobs = self.on_worker.get(&worker).into_iter().flatten();
        let is_deferrable = |id: &&String| {
            let task = self.tasks.get(*id);
            task.is_some_and(|task| task.record.class == Class::Deferrable && !task.is_stopping)
        };
        jobs.filter(is_deferrable).cloned().collect()
    }

    /// Halves the CPU of a worker's deferrable jobs if that frees enough, and returns whether it does.
    pub(super) fn throttle(
        &mut self,
        worker: inventory::Key,
        need: &Size,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(mut free) = self.inventory.free(worker).copied() else {
            return false;
        };
        let jobs = self.deferrable_on(worker);
        let halves = jobs.iter().filter_map(|id| self.tasks.get(id));
        let halves: Vec<(String, u64)> = halves
            .filter(|task| !task.is_throttled)
            .map(|task| (task.record.id.clone(), task.reserved.cpu_millis / 2))
            .collect();
        free.cpu_millis += halves.iter().map(|(_, half)| half).sum::<u64>();
        if !free.can_fit(need) {
            return false;
        }
        for (id, half) in halves {
            let half = Size {
                cpu_millis: half,
                ..Size::default()
            };
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            task.is_throttled = true;
            task.reserved.subtract(&half);
            self.inventory.release(worker, &half);
            self.quota.refund(task.team, &half);
            out.push(Action::Signal {
                worker: self.inventory.name(worker).to_owned(),
                job: id,
                signal: Signal::Throttle,
            });
        }
        true
    }

    /// Returns whether the jobs that are stopping will free enough.
    pub(super) fn is_preemption_pending(&self, worker: inventory::Key, need: &Size) -> bool {
        let Some(mut free) = self.inventory.free(worker).copied() else {
            return false;
        };
        let jobs = self.on_worker.get(&worker).into_iter().flatten();
        let mut has_any = false;
        for task in jobs
            .filter_map(|id| self.tasks.get(id))
            .filter(|task| task.is_stopping)
        {
            has_any = true;
            free.add(&task.reserved);
        }
        has_any && free.can_fit(need)
    }

    /// Checkpoints as many deferrable jobs of a worker as needed, if that frees enough, and returns
    /// whether it does.
    pub(super) fn checkpoint(
        &mut self,
        worker: inventory::Key,
        need: &Size,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(mut free) = self.inventory.free(worker).copied() else {
            return false;
        };
        let mut chosen = Vec::new();
        for id in self.deferrable_on(worker) {
            if free.can_fit(need) {
                break;
            }
            if let Some(task) = self.tasks.get(&id) {
                free.add(&task.reserved);
                chosen.push(id);
            }
        }
        if !free.can_fit(need) {
            return false;
        }
        for id in chosen {
            let Some(task) = self.tasks.get_mut(&id) else {
                continue;
            };
            task.is_stopping = true;
            out.push(Action::Signal {
                worker: self.inventory.name(worker).to_owned(),
                job: id,
                signal: Signal::Checkpoint,
            });
        }
        true
    }
}
