use super::Fleet;
use hyssop_model::work::Condition;
use hyssop_platform::dialect::Transfer;
use std::collections::BTreeMap;
use std::time::Duration;

/// The instances of one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Count {
    /// The number of instances, including those being moved to the pool.
    pub(super) size: usize,
    /// The number of instances being moved to the pool.
    pub(super) incoming: usize,
    /// The CPU capacity in thousandths of a core. Includes instances being moved to the pool and
    /// excludes those that are down or unreachable.
    pub(super) capacity: u64,
    /// The CPU capacity of one instance, in thousandths of a core; 0 without instances.
    pub(super) instance_cpu: u64,
    /// The names of the instances that are up and have no ordered change.
    pub(super) up: Vec<String>,
}

/// The instances of each pool, counted once for all decisions of a round.
pub(super) type Census = BTreeMap<String, Count>;

impl Fleet {
    /// Counts the instances of each pool.
    pub(super) fn take_census(&self, now: Duration) -> Census {
        let mut census = Census::new();
        for instance in self.instances.values() {
            let ordered = self.ordered.get(&instance.name).map(|(_, change)| change);
            let pool = match ordered {
                Some(Transfer::Move { pool, .. }) => pool,
                _ => &instance.pool,
            };
            let is_moving = instance.condition == Condition::Moving;
            let is_responsive = || {
                self.load(instance, now)
                    .is_none_or(|load| load.is_responsive)
            };
            let (is_incoming, is_counted) = match ordered {
                Some(Transfer::Move { .. }) => (true, true),
                Some(Transfer::Maintain { .. }) => (is_moving, false),
                None => {
                    let is_usable = is_moving || instance.condition == Condition::Up;
                    (is_moving, is_usable && is_responsive())
                }
            };
            let count = census.entry(pool.clone()).or_default();
            count.size += 1;
            count.incoming += usize::from(is_incoming);
            if is_counted {
                count.capacity = count.capacity.saturating_add(instance.capacity.cpu);
            }
            let own = census.entry(instance.pool.clone()).or_default();
            if own.instance_cpu == 0 {
                own.instance_cpu = instance.capacity.cpu;
            }
            if self.is_up(instance) {
                own.up.push(instance.name.clone());
            }
        }
        census
    }
}
