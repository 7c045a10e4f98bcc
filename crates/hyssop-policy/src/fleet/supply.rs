use super::{Change, Decision, Fleet};
use hyssop_model::work::{Condition, Instance};
use std::time::Duration;

impl Fleet {
    /// Moves instances where callers wait, and sends back what stays idle.
    ///
    /// The load that this answers: each queue in turn asks several times what its pool holds.
    /// The spare instances follow whoever waits; no pool is moved below its own size, since
    /// instances that go to and fro between pools cost more than they bring.
    pub(super) fn supply(&self, now: Duration, decision: &mut Decision) {
        let mut wanted = self.wanted(now);
        let mut free: Vec<&Instance> = self
            .instances
            .values()
            .filter(|instance| self.spare.contains(&instance.pool) && self.is_up(instance))
            .filter(|instance| !decision.touches(instance))
            .collect();
        let surplus = self.surplus(now, decision);
        for (pool, count) in &mut wanted {
            while *count > 0 {
                let Some(instance) = free.pop() else {
                    break;
                };
                *count -= 1;
                decision.changes.push(Change::Move {
                    instance: instance.name.clone(),
                    pool: pool.clone(),
                });
            }
        }
        for (instance, idle) in surplus {
            let target = wanted
                .iter_mut()
                .find(|(pool, count)| *count > 0 && *pool != instance.pool);
            let pool = match target {
                Some((pool, count)) => {
                    *count -= 1;
                    pool.clone()
                }
                None if idle >= self.settings.idle => match self.spare.first() {
                    Some(spare) => spare.clone(),
                    None => continue,
                },
                None => continue,
            };
            decision.empty(instance);
            if self.is_empty(instance, now) {
                decision.changes.push(Change::Move {
                    instance: instance.name.clone(),
                    pool,
                });
            }
        }
    }

    /// Returns how many more instances each pool could use, the most in want first.
    fn wanted(&self, now: Duration) -> Vec<(String, usize)> {
        let mut wanted: Vec<(String, usize)> = self
            .demands
            .keys()
            .filter_map(|pool| {
                let demand = self.demand(pool, now)?;
                let one = self
                    .instances
                    .values()
                    .find(|instance| instance.pool == *pool)
                    .map_or(0, |instance| instance.capacity.cpu)
                    .max(1);
                let incoming = self.incoming(pool);
                let count = demand.waiting.cpu.div_ceil(one) as usize;
                Some((pool.clone(), count.saturating_sub(incoming)))
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        wanted.sort_by(|(a, x), (b, y)| y.cmp(x).then(a.cmp(b)));
        wanted
    }

    /// Counts the instances on their way into a pool.
    fn incoming(&self, pool: &str) -> usize {
        self.instances
            .values()
            .filter(|instance| match self.ordered.get(&instance.name) {
                Some((_, Change::Move { pool: target, .. })) => target == pool,
                _ => instance.pool == pool && instance.condition == Condition::Moving,
            })
            .count()
    }

    /// Returns instances beyond their pools' own sizes that have no work, and since when; as many
    /// of a pool as it is over.
    fn surplus(&self, now: Duration, decision: &Decision) -> Vec<(&Instance, Duration)> {
        let mut surplus = Vec::new();
        for (pool, base) in &self.base {
            if self.spare.contains(pool) {
                continue;
            }
            let Some(demand) = self.demand(pool, now) else {
                continue;
            };
            if demand.waiting.cpu > 0 {
                continue;
            }
            let over = self.size(pool).saturating_sub(*base);
            let mut idle: Vec<(&Instance, Duration)> = self
                .instances
                .values()
                .filter(|instance| instance.pool == *pool && self.is_up(instance))
                .filter(|instance| !decision.touches(instance))
                .filter_map(|instance| {
                    let since = self.idle_since.get(&instance.name)?;
                    let load = self.load(instance, now)?;
                    (load.runs == 0 && load.is_sound)
                        .then(|| (instance, now.saturating_sub(*since)))
                })
                .collect();
            idle.sort_by(|(a, x), (b, y)| y.cmp(x).then(a.name.cmp(&b.name)));
            surplus.extend(idle.into_iter().take(over));
        }
        surplus
    }
}
