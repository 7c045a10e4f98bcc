use super::{is_blocked, Decision, Fleet, Progress};
use hyssop_model::work::{Condition, Instance};
use hyssop_platform::dialect::Transfer;
use std::collections::BTreeMap;
use std::time::Duration;

/// A pool's evacuated instances may run this many times the long-running tasks that may move at a
/// time, so that the next instances are emptied while the tasks of the previous ones still move.
const RELOCATIONS_AHEAD: u32 = 2;

/// The cost to callers of an instance's maintenance; the cheapest instance goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// 0 for a switched-off instance, 1 for one being evacuated, 2 for any other.
    class: u32,
    /// The number of long-running tasks, which would have to move.
    long_running_tasks: u32,
    /// The CPU reserved by its runs, in thousandths of a core.
    cpu: u64,
    is_busy: bool,
}

impl Fleet {
    /// Records the start of an instance's maintenance for a wave.
    pub fn on_maintenance_started(&mut self, wave: u64, instance: &str) {
        if let Some(progress) = self.wave_progress.get_mut(&wave) {
            progress.started.insert(instance.to_owned());
        }
    }

    /// Plans the maintenance of due instances: switched-off ones first, then those being evacuated,
    /// then the rest by their number of long-running tasks and the reserved CPU.
    ///
    /// Half the fleet may be due within the time of two demand peaks. A pool with a backlog keeps
    /// its instances until the wave runs short of time, except for a few with long-running tasks:
    /// those move one after the other within their budgets, which takes most of the wave's time.
    pub(super) fn plan_maintenance(&self, now: Duration, decision: &mut Decision) {
        for (&number, progress) in &self.wave_progress {
            let mut remaining =
                (progress.cap as usize).saturating_sub(self.unavailable_for_wave(number, now));
            let due: Vec<&Instance> = progress
                .due()
                .filter_map(|name| self.instances.get(name))
                .filter(|instance| self.is_up(instance))
                .filter(|instance| !decision.affects(instance))
                .collect();
            let is_urgent = self.is_urgent(due.len(), progress, now);
            let mut unavailable_by_pool = self.unavailable_by_pool();
            for instance in &due {
                decision.add_due(instance);
            }
            let mut ranked: Vec<(Cost, &Instance)> = due
                .into_iter()
                .filter_map(|instance| Some((self.cost(instance, now)?, instance)))
                .collect();
            ranked.sort_by(|(a, x), (b, y)| a.cmp(b).then(x.name.cmp(&y.name)));
            let mut relocations_by_pool: BTreeMap<String, u32> = BTreeMap::new();
            for (cost, instance) in ranked {
                if remaining == 0 {
                    break;
                }
                let is_spare = self.spare_pools.contains(&instance.pool);
                let unavailable = unavailable_by_pool
                    .entry(instance.pool.clone())
                    .or_insert(0);
                if !is_spare {
                    let size = self.size(&instance.pool) as f64;
                    let max_unavailable =
                        ((size * self.settings.max_unavailable_share).floor() as usize).max(1);
                    let has_backlog = self
                        .demand(&instance.pool, now)
                        .is_none_or(|demand| demand.waiting.cpu > 0);
                    let relocations = relocations_by_pool
                        .entry(instance.pool.clone())
                        .or_insert(0);
                    let is_relocating = cost.long_running_tasks > 0
                        && *relocations
                            < self
                                .max_relocations(&instance.pool, now)
                                .saturating_mul(RELOCATIONS_AHEAD);
                    let is_busy = cost.is_busy && !is_relocating;
                    if *unavailable >= max_unavailable || (has_backlog && !is_urgent && is_busy) {
                        continue;
                    }
                    *relocations = relocations.saturating_add(cost.long_running_tasks);
                }
                *unavailable += 1;
                remaining -= 1;
                decision.add_evacuation(instance);
                let is_forced = progress
                    .deadline
                    .is_some_and(|deadline| now + self.settings.force_before_deadline >= deadline);
                let is_ready = self.is_empty(instance, now)
                    || self.is_released_for_maintenance(instance, now)
                    || (is_forced && self.is_restartable(instance, now));
                if is_ready && self.may_change(instance, now) {
                    decision.changes.push(Transfer::Maintain {
                        instance: instance.name.clone(),
                        wave: number,
                    });
                }
            }
        }
    }

    /// Returns the number of instances that are, or may be, down for a wave.
    ///
    /// The previous owner's recent orders count, since the list may not show their effect yet.
    fn unavailable_for_wave(&self, wave: u64, now: Duration) -> usize {
        let Some(progress) = self.wave_progress.get(&wave) else {
            return 0;
        };
        progress
            .instances
            .iter()
            .filter(|name| {
                let is_ordered = matches!(
                    self.ordered.get(*name),
                    Some((_, Transfer::Maintain { .. }))
                );
                let is_down = self
                    .instances
                    .get(*name)
                    .is_some_and(|instance| instance.condition == Condition::Maintained);
                is_ordered || is_down || is_blocked(&self.excluded_until, name, now)
            })
            .count()
    }

    /// Returns the number of unavailable instances of each pool; those being moved don't count.
    fn unavailable_by_pool(&self) -> BTreeMap<String, usize> {
        let mut unavailable = BTreeMap::new();
        for instance in self.instances.values() {
            if !self.is_up(instance) && instance.condition != Condition::Moving {
                *unavailable.entry(instance.pool.clone()).or_insert(0) += 1;
            }
        }
        unavailable
    }

    /// Returns whether a wave has little time for its remaining instances.
    ///
    /// A wave with an unknown deadline is urgent.
    fn is_urgent(&self, remaining: usize, progress: &Progress, now: Duration) -> bool {
        let Some(deadline) = progress.deadline else {
            return true;
        };
        let rounds = remaining.div_ceil(progress.cap.max(1) as usize) as u32;
        let time_needed = self.settings.maintenance_time * rounds + self.settings.deadline_slack;
        now + time_needed >= deadline
    }

    /// Returns how many of a pool's long-running tasks may move at a time.
    fn max_relocations(&self, pool: &str, now: Duration) -> u32 {
        self.demand(pool, now)
            .map_or(1, |demand| demand.max_moves.max(1))
    }

    /// Returns the cost of an instance's maintenance, or `None` if its load is unknown.
    fn cost(&self, instance: &Instance, now: Duration) -> Option<Cost> {
        if self.spare_pools.contains(&instance.pool) || instance.worker.is_none() {
            return Some(Cost::default());
        }
        let load = self.load(instance, now)?;
        Some(Cost {
            // Instances being evacuated go first, so that the choice is stable between decisions.
            class: if load.is_evacuating { 1 } else { 2 },
            long_running_tasks: load.long_running,
            cpu: load.cpu,
            is_busy: !load.is_idle(),
        })
    }

    /// Returns whether an instance was released for maintenance with its long-running tasks.
    fn is_released_for_maintenance(&self, instance: &Instance, now: Duration) -> bool {
        self.load(instance, now)
            .is_some_and(|load| load.is_released_for_disruption)
    }

    /// Returns whether an instance is being evacuated and all its tasks can restart elsewhere, since
    /// none of them is long-running.
    fn is_restartable(&self, instance: &Instance, now: Duration) -> bool {
        self.load(instance, now)
            .is_some_and(|load| load.is_evacuating && load.long_running == 0)
    }

    /// Returns whether an instance has no runs and gets no new ones.
    pub(super) fn is_empty(&self, instance: &Instance, now: Duration) -> bool {
        if self.spare_pools.contains(&instance.pool) || instance.worker.is_none() {
            return true;
        }
        self.load(instance, now)
            .is_some_and(|load| load.is_evacuating && load.is_idle())
    }
}
