//! Placement of waiting jobs on workers.

use super::{record_urgent, size_to_reserve, Scheduler};
use crate::job::quota::{self};
use crate::job::Action;
use hyssop_model::job::{Size, State};
use hyssop_model::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

impl Scheduler {
    /// Reserves a job's size on its worker and charges its team.
    pub(super) fn allocate(&mut self, id: &str) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let Some(worker) = task.worker else {
            return;
        };
        self.inventory.reserve(worker, &task.reserved);
        self.quota.charge(task.team, &task.reserved);
        self.on_worker
            .entry(worker)
            .or_default()
            .insert(id.to_owned());
    }

    /// Releases a job's reservation and refunds its team.
    pub(super) fn deallocate(&mut self, id: &str) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(worker) = task.worker.take() else {
            return;
        };
        self.inventory.release(worker, &task.reserved);
        self.dirty_pools.insert(task.record.pool.clone());
        if let Some(jobs) = self.on_worker.get_mut(&worker) {
            jobs.remove(id);
        }
        self.quota.refund(task.team, &task.reserved);
        task.expires_at = None;
        task.is_throttled = false;
        task.is_stopping = false;
    }

    /// Places urgent jobs, and preempts deferrable ones where they do not fit.
    pub(super) fn place_urgent(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        const MAX_URGENT_PER_TICK: usize = 256;
        let urgent: Vec<String> = self
            .quota
            .urgent()
            .take(MAX_URGENT_PER_TICK)
            .map(str::to_owned)
            .collect();
        for id in urgent {
            if !self.place(now, wall_ms, &id, out) {
                self.preempt(&id, out);
                self.place(now, wall_ms, &id, out);
            }
        }
    }

    /// Places waiting jobs in the pools that changed.
    pub(super) fn place_all(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        for pool in std::mem::take(&mut self.dirty_pools) {
            self.place_pool(now, wall_ms, &pool, out);
        }
    }

    /// Places the waiting jobs of a pool that fit, always from the team with the lowest rank.
    pub(super) fn place_pool(
        &mut self,
        now: Instant,
        wall_ms: u64,
        pool: &str,
        out: &mut Vec<Action>,
    ) {
        const MAX_LOOKAHEAD: usize = 4;
        // The sizes that did not fit in this pass. A job at least as large does not fit either.
        let mut too_large: Vec<Size> = Vec::new();
        let capacity = *self.inventory.capacity();
        let ranks = self.quota.ranks(pool, &capacity);
        let mut ranks: BinaryHeap<Reverse<(u64, quota::Key)>> =
            ranks.into_iter().map(Reverse).collect();
        while let Some(Reverse((_, team))) = ranks.pop() {
            let mut from = 0;
            loop {
                let accepts = |size: &Size| !too_large.iter().any(|large| size.can_fit(large));
                let found = self
                    .quota
                    .first_waiting(team, pool, from..MAX_LOOKAHEAD, accepts);
                let Some((position, id, size)) = found else {
                    break;
                };
                let id = id.to_owned();
                if self.place(now, wall_ms, &id, out) {
                    // Only this team's rank changed.
                    let next = self.quota.rank(team, pool, &capacity);
                    ranks.extend(next.map(|rank| Reverse((rank, team))));
                    break;
                }
                too_large.push(size);
                from = position + 1;
            }
        }
    }

    /// Places one job if it fits on a worker, and returns whether it was placed.
    pub(super) fn place(
        &mut self,
        now: Instant,
        wall_ms: u64,
        id: &str,
        out: &mut Vec<Action>,
    ) -> bool {
        let settings = &self.settings;
        let Some(task) = self.tasks.get_mut(id) else {
            return false;
        };
        let record = &mut task.record;
        let size = size_to_reserve(&self.profile, &self.inventory, settings, record);
        if record.class == Class::Urgent {
            record_urgent(&mut self.urgent_sizes, now, &record.pool, &size, settings);
        }
        let urgent = self.urgent_sizes.get(&record.pool);
        let urgent = urgent.filter(|(_, seen_at)| *seen_at + settings.urgent_reserve > now);
        let mut requested = size;
        if let (Class::Deferrable, Some((need, _))) = (record.class, urgent) {
            // At least one worker keeps capacity free for the next urgent job, since preemption
            // takes longer than urgent jobs may wait.
            if !self.inventory.has_two_candidates(&record.pool, need) {
                requested.add(need);
            }
        }
        let found = self.inventory.find(
            &record.pool,
            &requested,
            settings.max_candidates,
            &record.failed_on,
        );
        let Some(worker) = found else {
            return false;
        };
        self.quota
            .remove(task.team, &record.pool, record.class, task.sequence);
        let expires_at = now + settings.lease + settings.lease_slack + settings.usage_lag;
        record.state = State::Placed;
        record.fence += 1;
        record.lease_ends_ms = wall_ms + settings.lease.as_millis() as u64;
        record.reason.clear();
        record.worker = Some(self.inventory.name(worker).to_owned());
        task.worker = Some(worker);
        task.reserved = size;
        task.expires_at = Some(expires_at);
        let sequence = task.sequence;
        self.inventory.reserve(worker, &size);
        self.quota.charge(task.team, &size);
        self.on_worker
            .entry(worker)
            .or_default()
            .insert(id.to_owned());
        self.expiries.insert((expires_at, sequence), id.to_owned());
        out.push(Action::Start(record.clone()));
        true
    }
}
