//! Which job goes to which worker.

use super::{note_urgent, size_to_reserve, Scheduler};
use crate::job::quota::{self};
use crate::job::Action;
use hyssop_model::job::{Size, State};
use hyssop_model::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

impl Scheduler {
    /// Reserves a task's size on its worker and charges its team.
    pub(super) fn hold(&mut self, id: &str) {
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

    /// Gives back what a task holds.
    pub(super) fn let_go(&mut self, id: &str) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(worker) = task.worker.take() else {
            return;
        };
        self.inventory.release(worker, &task.reserved);
        self.dirty.insert(task.record.pool.clone());
        if let Some(jobs) = self.on_worker.get_mut(&worker) {
            jobs.remove(id);
        }
        self.quota.refund(task.team, &task.reserved);
        task.over_at = None;
        task.is_throttled = false;
        task.is_ending = false;
    }

    /// Places urgent jobs, and makes room for those that do not fit.
    pub(super) fn place_urgent(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        const MOST_AT_ONCE: usize = 256;
        let urgent: Vec<String> = self
            .quota
            .urgent()
            .take(MOST_AT_ONCE)
            .map(str::to_owned)
            .collect();
        for id in urgent {
            if !self.place(now, wall_ms, &id, out) {
                self.make_room(&id, out);
                self.place(now, wall_ms, &id, out);
            }
        }
    }

    /// Places what fits in the pools where something changed.
    pub(super) fn place_all(&mut self, now: Instant, wall_ms: u64, out: &mut Vec<Action>) {
        for pool in std::mem::take(&mut self.dirty) {
            self.place_pool(now, wall_ms, &pool, out);
        }
    }

    /// Places what fits in a pool, always a job of the team whose turn it is.
    pub(super) fn place_pool(
        &mut self,
        now: Instant,
        wall_ms: u64,
        pool: &str,
        out: &mut Vec<Action>,
    ) {
        const DEEPEST_LOOK: usize = 4;
        // What did not fit in this pass; what is as large or larger does not fit either.
        let mut too_large: Vec<Size> = Vec::new();
        let whole = *self.inventory.whole();
        let turns = self.quota.turns(pool, &whole);
        let mut turns: BinaryHeap<Reverse<(u64, quota::Key)>> =
            turns.into_iter().map(Reverse).collect();
        while let Some(Reverse((_, team))) = turns.pop() {
            let mut from = 0;
            loop {
                let is_wanted = |size: &Size| !too_large.iter().any(|large| size.can_fit(large));
                let found = self
                    .quota
                    .first_waiting(team, pool, from..DEEPEST_LOOK, is_wanted);
                let Some((number, id, size)) = found else {
                    break;
                };
                let id = id.to_owned();
                if self.place(now, wall_ms, &id, out) {
                    // The team's turn is a later one now; the other teams' turns are as they were.
                    let next = self.quota.turn(team, pool, &whole);
                    turns.extend(next.map(|turn| Reverse((turn, team))));
                    break;
                }
                too_large.push(size);
                from = number + 1;
            }
        }
    }

    /// Places one job, if a worker has room.
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
            note_urgent(&mut self.urgent_needs, now, &record.pool, &size, settings);
        }
        let urgent = self.urgent_needs.get(&record.pool);
        let urgent = urgent.filter(|(_, at)| *at + settings.urgent_memory > now);
        let mut wanted = size;
        if let (Class::Deferrable, Some((need, _))) = (record.class, urgent) {
            // One worker at least keeps room for the next urgent job: making room takes longer than
            // urgent work may wait.
            if !self.inventory.has_two(&record.pool, need) {
                wanted.add(need);
            }
        }
        let found = self.inventory.find(
            &record.pool,
            &wanted,
            settings.candidates,
            &record.failed_on,
        );
        let Some(worker) = found else {
            return false;
        };
        self.quota
            .remove(task.team, &record.pool, record.class, task.sequence);
        let over_at = now + settings.lease + settings.lease_slack + settings.usage_lag;
        record.state = State::Placed;
        record.fence += 1;
        record.lease_ends_ms = wall_ms + settings.lease.as_millis() as u64;
        record.reason.clear();
        record.worker = Some(self.inventory.name(worker).to_owned());
        task.worker = Some(worker);
        task.reserved = size;
        task.over_at = Some(over_at);
        let sequence = task.sequence;
        self.inventory.reserve(worker, &size);
        self.quota.charge(task.team, &size);
        self.on_worker
            .entry(worker)
            .or_default()
            .insert(id.to_owned());
        self.lapses.insert((over_at, sequence), id.to_owned());
        out.push(Action::Start(record.clone()));
        true
    }
}
