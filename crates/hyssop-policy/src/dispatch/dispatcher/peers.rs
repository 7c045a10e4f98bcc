//! Exchange of demand, slots and health reports between entries.

use super::{report_bytes, Dispatcher};
use crate::dispatch::{Action, ReportIntervals, Workload};
use crate::slot;
use hyssop_model::prelude::*;
use hyssop_wire::demand::Report;
use hyssop_wire::Body;

impl Dispatcher {
    pub(super) fn on_peer_up(&mut self, now: Instant, peer: entry::Id, out: &mut Vec<Action>) {
        self.allocate(now, slot::Event::PeerUp(peer), out);
        for workload in self.workloads.values_mut() {
            workload.force_report();
        }
    }

    pub(super) fn on_frame(
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
                self.dispatch_all(now, out);
            }
            Body::Return(returned) => {
                self.allocate(now, slot::Event::Return { from, returned }, out);
                self.dispatch_all(now, out);
            }
            Body::Demand(report) => self.on_demand(now, from, report, out),
            Body::Health(report) => self.health.on_peer_report(now, from, &report),
            _ => {}
        }
    }

    pub(super) fn on_demand(
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
                self.lend_spare(now, key, Some(from), out);
            }
        }
    }

    /// Recomputes the division of a pool's slots from the reported demand.
    pub(super) fn replan(&mut self, now: Instant, pool: pool::Key) {
        let Some(workload) = self.workloads.get_mut(&pool) else {
            return;
        };
        let name = workload.pool.name.clone();
        let usable = self.allocator.usable(&name);
        self.demand.insert(self.id, workload.report(now, usable));
        let total = self.allocator.total(&name);
        let plan = self.demand.plan(self.id, &name, total, &workload.queues());
        workload.set_plan(plan, usable, self.settings.deferrable_fraction);
    }

    /// Returns the number of a pool's slots that this entry does not lend: its fair share, and one in
    /// reserve while the pool has more slots than requests.
    pub(super) fn own_slots(&self, workload: &Workload) -> u32 {
        let fair_share = workload.plan.entries.get(&self.id).copied().unwrap_or(0.0);
        let is_overloaded = self.demand.outstanding(&workload.pool.name)
            >= self.allocator.total(&workload.pool.name);
        let reserve = u32::from(!is_overloaded);
        fair_share.ceil() as u32 + reserve
    }

    /// Lends the pool's slots that this entry does not need to peers.
    ///
    /// `reporter` is the peer whose demand report is the cause, if there is one.
    pub(super) fn lend_spare(
        &mut self,
        now: Instant,
        pool: pool::Key,
        reporter: Option<entry::Id>,
        out: &mut Vec<Action>,
    ) {
        let Some(workload) = self.workloads.get(&pool) else {
            return;
        };
        let name = workload.pool.name.clone();
        if reporter.is_none() && self.allocator.unmet(&name) == 0 {
            return;
        }
        let keep = self.own_slots(workload);
        let spare = self.allocator.usable(&name).saturating_sub(keep);
        let wanted = reporter.map(|peer| {
            (
                peer,
                self.demand
                    .slots_to_lend(self.id, peer, &name, &workload.plan, spare),
            )
        });
        let need = slot::Event::Need {
            pool: name,
            keep,
            wanted,
        };
        self.allocate(now, need, out);
    }

    /// Reports a pool's demand to the peers if a report is due and the rate limit permits it.
    pub(super) fn report_demand(
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
        let intervals = ReportIntervals {
            burst: self.settings.demand_burst,
            interval: self.settings.demand_interval,
            refresh: self.settings.demand_refresh,
        };
        let usable = self.allocator.usable(&workload.pool.name);
        let report = workload.report(now, usable);
        if !workload.is_report_due(now, &report, &intervals) {
            return;
        }
        let bytes = self.members.len().saturating_sub(1) * report_bytes(&report);
        if !self.report_bucket.try_acquire(now, bytes) {
            return;
        }
        workload.record_report(now, &report);
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

    pub(super) fn update_health(&mut self, now: Instant, out: &mut Vec<Action>) {
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

    pub(super) fn report_health(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_health_report.is_some_and(|due| now < due) {
            return;
        }
        self.next_health_report = Some(now + self.settings.health_interval);
        let report = self.health.report();
        self.broadcast(&Body::Health(report), out);
    }
}
