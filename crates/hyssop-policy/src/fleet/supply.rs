use super::{Decision, Fleet};
use hyssop_model::work::{Condition, Instance};
use hyssop_platform::dialect::Transfer;
use std::time::Duration;

/// Is an idle instance that its pool can do without.
struct Surplus<'a> {
    instance: &'a Instance,
    /// Whether it has been idle for so long that it is switched off.
    is_rested: bool,
}

impl Fleet {
    /// Moves instances where callers wait, and sends back what stays idle.
    ///
    /// The load that this answers: each queue in turn asks several times what its pool holds.
    /// Spare instances and those that idle pools can do without follow whoever waits or is about to;
    /// what nobody wants is switched off. A pool keeps what it needed lately, so that instances do
    /// not go to and fro with every job.
    pub(super) fn supply(&self, now: Duration, decision: &mut Decision) {
        let mut wanted = self.wanted(now);
        let mut free: Vec<&Instance> = self
            .instances
            .values()
            .filter(|instance| self.spare.contains(&instance.pool) && self.is_up(instance))
            .filter(|instance| self.may_change(instance, now))
            .filter(|instance| !decision.touches(instance))
            .collect();
        let surplus = self.surplus(now, decision);
        for (pool, count) in &mut wanted {
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
            is_rested,
        } in surplus
        {
            let target = wanted
                .iter_mut()
                .find(|(pool, count)| *count > 0 && *pool != instance.pool);
            let pool = match target {
                Some((pool, count)) => {
                    *count -= 1;
                    pool.clone()
                }
                None if is_rested => match self.spare.first() {
                    Some(spare) => spare.clone(),
                    None => continue,
                },
                None => continue,
            };
            decision.empty(instance);
            if self.is_empty(instance, now) && self.may_change(instance, now) {
                decision.changes.push(Transfer::Move {
                    instance: instance.name.clone(),
                    pool,
                });
            }
        }
    }

    /// Returns how many more instances each pool could use, the most in want first.
    fn wanted(&self, now: Duration) -> Vec<(String, usize)> {
        let mut wanted: Vec<(String, usize)> = self
            .heard
            .keys()
            .filter_map(|pool| {
                let demand = self.demand(pool, now)?;
                let one = self.one(pool);
                let waiting = demand.waiting.cpu.div_ceil(one) as usize;
                let need = self.needs.get(pool)?.forecast(self.settings.ahead);
                let rising = need.saturating_sub(self.capacity(pool, now)).div_ceil(one) as usize;
                let count = waiting.saturating_sub(self.incoming(pool)).max(rising);
                Some((pool.clone(), count))
            })
            .filter(|(_, count)| *count > 0)
            .collect();
        wanted.sort_by(|(a, x), (b, y)| y.cmp(x).then(a.cmp(b)));
        wanted
    }

    /// Returns what one instance of a pool holds, in thousandths of a core.
    fn one(&self, pool: &str) -> u64 {
        self.instances
            .values()
            .find(|instance| instance.pool == pool)
            .map_or(0, |instance| instance.capacity.cpu)
            .max(1)
    }

    /// Returns what the instances that are in a pool, or on their way there, hold; those that are
    /// down or do not answer do not count.
    fn capacity(&self, pool: &str, now: Duration) -> u64 {
        self.instances
            .values()
            .filter(|instance| match self.ordered.get(&instance.name) {
                Some((_, Transfer::Move { pool: target, .. })) => target == pool,
                Some((_, Transfer::Maintain { .. })) => false,
                None => {
                    instance.pool == pool
                        && matches!(instance.condition, Condition::Up | Condition::Moving)
                        && self.load(instance, now).is_none_or(|load| load.is_sound)
                }
            })
            .map(|instance| instance.capacity.cpu)
            .sum()
    }

    /// Returns how many instances a pool keeps for what it has asked for lately and for its
    /// lasting tasks.
    fn kept(&self, pool: &str, now: Duration) -> usize {
        let since = now.saturating_sub(self.settings.rest);
        let need = self
            .needs
            .get(pool)
            .map_or(0, |need| need.most_since(since));
        let for_need = (need as f64 * self.settings.margin / self.one(pool) as f64).ceil() as usize;
        let spread = self.demand(pool, now).map_or(0, |demand| demand.spread) as usize;
        let own = self.base.get(pool).copied().unwrap_or(0);
        let least = ((own as f64 * self.settings.kept).ceil() as usize).max(spread + 1);
        for_need.max(least)
    }

    /// Counts the instances on their way into a pool.
    fn incoming(&self, pool: &str) -> usize {
        self.instances
            .values()
            .filter(|instance| match self.ordered.get(&instance.name) {
                Some((_, Transfer::Move { pool: target, .. })) => target == pool,
                _ => instance.pool == pool && instance.condition == Condition::Moving,
            })
            .count()
    }

    /// Returns instances without work that their pools can do without, those beyond a pool's own
    /// size first.
    fn surplus(&self, now: Duration, decision: &Decision) -> Vec<Surplus<'_>> {
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
            let size = self.size(pool);
            let over = size.saturating_sub(self.kept(pool, now).min(*base));
            let beyond = size.saturating_sub(*base);
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
            surplus.extend(idle.into_iter().take(over).enumerate().filter_map(
                |(number, (instance, idle))| {
                    let is_own = number >= beyond;
                    let rest = if is_own {
                        self.settings.rest
                    } else {
                        self.settings.idle
                    };
                    let is_lent = !is_own || idle >= self.settings.lend;
                    is_lent.then_some(Surplus {
                        instance,
                        is_rested: idle >= rest,
                    })
                },
            ));
        }
        surplus
    }
}
