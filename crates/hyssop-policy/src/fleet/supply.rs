use super::{Decision, Fleet};
use hyssop_model::work::Instance;
use hyssop_platform::dialect::Transfer;
use std::time::Duration;

/// An idle instance that its pool can spare.
struct Surplus<'a> {
    instance: &'a Instance,
    /// Whether it has been idle long enough to return to the spare pool.
    is_returnable: bool,
}

impl Fleet {
    /// Plans moves of instances to pools with a backlog, and of idle instances to the spare pool.
    ///
    /// The demand of each queue peaks in turn, at several times its pool's capacity. Pools with a
    /// backlog, or about to have one, get the spare instances and those that idle pools can spare;
    /// instances that no pool needs are switched off. A pool retains enough for its recent peak, so
    /// that instances don't move back and forth with every job.
    pub(super) fn plan_moves(&self, now: Duration, decision: &mut Decision) {
        let mut shortfalls = self.shortfalls(now);
        let mut free: Vec<&Instance> = self
            .spare_pools
            .iter()
            .filter_map(|pool| self.census.get(pool))
            .flat_map(|count| &count.up)
            .filter_map(|name| self.instances.get(name))
            .filter(|instance| self.may_change(instance, now))
            .filter(|instance| !decision.affects(instance))
            .collect();
        let surplus = self.surplus(now, decision);
        for (pool, count) in &mut shortfalls {
            while *count > 0 {
                let Some(instance) = free.pop() else {
                    break;
                };
                *count -= 1;
                decision.changes.push(Transfer::Move {
                    instance: instance.name.clone(),
                    pool: pool.clone(),
                });
            }
        }
        for Surplus {
            instance,
            is_returnable,
        } in surplus
        {
            let target = shortfalls
                .iter_mut()
                .find(|(pool, count)| *count > 0 && *pool != instance.pool);
            let pool = match target {
                Some((pool, count)) => {
                    *count -= 1;
                    pool.clone()
                }
                None if is_returnable => match self.spare_pools.first() {
                    Some(spare) => spare.clone(),
                    None => continue,
                },
                None => continue,
            };
            decision.add_evacuation(instance);
            if self.is_empty(instance, now) && self.may_change(instance, now) {
                decision.changes.push(Transfer::Move {
                    instance: instance.name.clone(),
                    pool,
                });
            }
        }
    }

    /// Returns how many more instances each pool needs, the largest shortfall first.
    fn shortfalls(&self, now: Duration) -> Vec<(String, usize)> {
        let mut shortfalls: Vec<(String, usize)> = self
            .reports
            .keys()
            .filter_map(|pool| {
                let demand = self.demand(pool, now)?;
                let instance_cpu = self.instance_cpu(pool);
                let waiting = demand.waiting.cpu.div_ceil(instance_cpu) as usize;
                let forecast = self
                    .histories
                    .get(pool)?
                    .forecast(self.settings.forecast_horizon);
                let rising = forecast
                    .saturating_sub(self.capacity(pool))
                    .div_ceil(instance_cpu) as usize;
                let count = waiting.saturating_sub(self.incoming(pool)).max(rising);
                Some((pool.clone(), count))
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        shortfalls.sort_by(|(a, x), (b, y)| y.cmp(x).then(a.cmp(b)));
        shortfalls
    }

    /// Returns the CPU capacity of one instance of a pool, in thousandths of a core, at least 1.
    fn instance_cpu(&self, pool: &str) -> u64 {
        self.census
            .get(pool)
            .map_or(0, |count| count.instance_cpu)
            .max(1)
    }

    /// Returns the CPU capacity of a pool's instances, in thousandths of a core.
    fn capacity(&self, pool: &str) -> u64 {
        self.census.get(pool).map_or(0, |count| count.capacity)
    }

    /// Returns how many instances a pool retains for its recent peak of demand and for its
    /// long-running tasks.
    fn retained_size(&self, pool: &str, now: Duration) -> usize {
        let since = now.saturating_sub(self.settings.switch_off_after);
        let peak = self
            .histories
            .get(pool)
            .map_or(0, |history| history.peak_since(since));
        let for_peak =
            (peak as f64 * self.settings.margin / self.instance_cpu(pool) as f64).ceil() as usize;
        let min_workers = self
            .demand(pool, now)
            .map_or(0, |demand| demand.min_workers) as usize;
        let base_size = self.base_sizes.get(pool).copied().unwrap_or(0);
        let min_size = ((base_size as f64 * self.settings.min_retained_share).ceil() as usize)
            .max(min_workers + 1);
        for_peak.max(min_size)
    }

    /// Returns the number of instances being moved to a pool.
    fn incoming(&self, pool: &str) -> usize {
        self.census.get(pool).map_or(0, |count| count.incoming)
    }

    /// Returns the idle instances that their pools can spare, those beyond a pool's base size first.
    fn surplus(&self, now: Duration, decision: &Decision) -> Vec<Surplus<'_>> {
        let mut surplus = Vec::new();
        for (pool, base_size) in &self.base_sizes {
            if self.spare_pools.contains(pool) {
                continue;
            }
            let Some(demand) = self.demand(pool, now) else {
                continue;
            };
            if demand.waiting.cpu > 0 {
                continue;
            }
            let size = self.size(pool);
            let excess = size.saturating_sub(self.retained_size(pool, now).min(*base_size));
            let beyond_base = size.saturating_sub(*base_size);
            let up = self.census.get(pool).map(|count| &count.up);
            let mut idle: Vec<(&Instance, Duration)> = up
                .into_iter()
                .flatten()
                .filter_map(|name| self.instances.get(name))
                .filter(|instance| !decision.affects(instance))
                .filter_map(|instance| {
                    let since = self.idle_since.get(&instance.name)?;
                    let load = self.load(instance, now)?;
                    (load.is_idle() && load.is_responsive)
                        .then(|| (instance, now.saturating_sub(*since)))
                })
                .collect();
            idle.sort_by(|(a, x), (b, y)| y.cmp(x).then(a.name.cmp(&b.name)));
            surplus.extend(idle.into_iter().take(excess).enumerate().filter_map(
                |(number, (instance, idle))| {
                    let is_base = number >= beyond_base;
                    let return_after = if is_base {
                        self.settings.switch_off_after
                    } else {
                        self.settings.return_after
                    };
                    let is_movable = !is_base || idle >= self.settings.lend_after;
                    is_movable.then_some(Surplus {
                        instance,
                        is_returnable: idle >= return_after,
                    })
                },
            ));
        }
        surplus
    }
}
