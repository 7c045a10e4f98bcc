//! What entries tell each other: demand, slots and health.

use super::{report_bytes, Dispatcher};
use crate::dispatch::{Action, Pace, Workload};
use crate::slot;
use hyssop_model::prelude::*;
use hyssop_wire::demand::Report;
use hyssop_wire::Body;

impl Dispatcher {
    pub(super) fn greet(&mut self, now: Instant, peer: entry::Id, out: &mut Vec<Action>) {
        self.allocate(now, slot::Event::PeerUp(peer), out);
        for workload in self.workloads.values_mut() {
            workload.forget_told();
        }
    }

    pub(super) fn hear(
        &mut self,
        now: Instant,
        from: entry::Id,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::Status(status) => self.allocate(now, slot::Event::Status { from, status }, out),
            Body::Lend(lend) => {
                self.allocate(now, slot::Event::Lend { from, lend }, out);
                self.pump_all(now, out);
            }
            Body::Return(returned) => {
                self.allocate(now, slot::Event::Return { from, returned }, out);
                self.pump_all(now, out);
            }
            Body::Demand(report) => self.hear_demand(now, from, report, out),
            Body::Health(report) => self.health.hear(now, from, &report),
            _ => {}
        }
    }

    pub(super) fn hear_demand(
        &mut self,
        now: Instant,
        from: entry::Id,
        report: Report,
        out: &mut Vec<Action>,
    ) {
        if !self.members.contains(&from) {
            return;
        }
        for pool in report.pools {
            let key = self.pools.find(&pool.pool);
            self.demand.insert(from, pool);
            if let Some(key) = key {
                self.replan(now, key);
                self.offer(now, key, Some(from), out);
            }
        }
    }

    /// Divides a pool's slots anew.
    pub(super) fn replan(&mut self, now: Instant, pool: pool::Key) {
        let Some(workload) = self.workloads.get_mut(&pool) else {
            return;
        };
        let name = workload.pool.name.clone();
        let usable = self.allocator.usable(&name);
        self.demand.insert(self.id, workload.report(now, usable));
        let total = self.allocator.total(&name);
        let plan = self.demand.plan(self.id, &name, total, &workload.queues());
        workload.set_plan(plan, usable, self.settings.deferrable_part);
    }

    /// Returns the slots of a pool that this entry keeps for itself.
    pub(super) fn keep(&self, workload: &Workload) -> u32 {
        let due = workload.plan.entries.get(&self.id).copied().unwrap_or(0.0);
        let is_short =
            self.demand.total(&workload.pool.name) >= self.allocator.total(&workload.pool.name);
        let reserve = u32::from(!is_short);
        due.ceil() as u32 + reserve
    }

    /// Lends slots of a pool beyond the own need to peers, `heard` one of which told its demand.
    pub(super) fn offer(
        &mut self,
        now: Instant,
        pool: pool::Key,
        heard: Option<entry::Id>,
        out: &mut Vec<Action>,
    ) {
        let Some(workload) = self.workloads.get(&pool) else {
            return;
        };
        let name = workload.pool.name.clone();
        if heard.is_none() && self.allocator.unmet(&name) == 0 {
            return;
        }
        let keep = self.keep(workload);
        let spare = self.allocator.usable(&name).saturating_sub(keep);
        let wanted = heard.map(|peer| {
            (
                peer,
                self.demand
                    .wanted(self.id, peer, &name, &workload.plan, spare),
            )
        });
        let need = slot::Event::Need {
            pool: name,
            keep,
            wanted,
        };
        self.allocate(now, need, out);
    }

    /// Tells the peers a pool's demand, when it changed enough.
    pub(super) fn tell_demand(
        &mut self,
        now: Instant,
        pool: pool::Key,
        is_tick: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(workload) = self.workloads.get_mut(&pool) else {
            return;
        };
        if !is_tick && workload.queue.is_empty() {
            return;
        }
        let pace = Pace {
            burst: self.settings.demand_burst,
            interval: self.settings.demand_interval,
            refresh: self.settings.demand_refresh,
        };
        let usable = self.allocator.usable(&workload.pool.name);
        let report = workload.report(now, usable);
        if !workload.is_worth_telling(now, &report, &pace) {
            return;
        }
        let bytes = self.members.len().saturating_sub(1) * report_bytes(&report);
        if !self.allowance.take(now, bytes) {
            return;
        }
        workload.note_told(now, &report);
        let body = Body::Demand(Report {
            pools: vec![report],
        });
        self.broadcast(&body, out);
    }

    pub(super) fn broadcast(&self, body: &Body, out: &mut Vec<Action>) {
        for peer in self.members.iter().filter(|peer| **peer != self.id) {
            out.push(Action::Send {
                to: *peer,
                body: body.clone(),
            });
        }
    }

    pub(super) fn judge_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        for (instance, is_usable) in self.health.tick(now) {
            self.allocate(
                now,
                slot::Event::Usable {
                    instance,
                    is_usable,
                },
                out,
            );
            out.push(Action::Health {
                instance,
                is_usable,
            });
        }
    }

    pub(super) fn tell_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_health.is_some_and(|due| now < due) {
            return;
        }
        self.next_health = Some(now + self.settings.health_interval);
        let report = self.health.report();
        self.broadcast(&Body::Health(report), out);
    }
}
