use super::{AntiAffinity, InstanceSlots};
use hyssop_model::prelude::*;
use std::cmp::Reverse;

/// The instances by key, and by pool in the order of their free capacity.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    instances: BTreeMap<instance::Key, InstanceSlots>,
    pools: BTreeMap<String, BTreeSet<instance::Key>>,
    by_free_capacity: BTreeMap<String, BTreeSet<(Reverse<u32>, instance::Key)>>,
    index_entries: BTreeMap<instance::Key, (String, u32)>,
}

impl Inventory {
    pub(crate) fn get(&self, key: instance::Key) -> Option<&InstanceSlots> {
        self.instances.get(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (instance::Key, &InstanceSlots)> {
        self.instances.iter().map(|(key, slots)| (*key, slots))
    }

    pub(crate) fn keys(&self) -> Vec<instance::Key> {
        self.instances.keys().copied().collect()
    }

    /// Changes an instance's slots and updates the indices.
    pub(crate) fn update<T>(
        &mut self,
        key: instance::Key,
        change: impl FnOnce(&mut InstanceSlots) -> T,
    ) -> Option<T> {
        let slots = self.instances.get_mut(&key)?;
        let result = change(slots);
        self.reindex(key);
        Some(result)
    }

    /// Inserts a record unless a newer one is known; returns whether the instance is new.
    pub(crate) fn insert(&mut self, record: instance::Record) -> bool {
        let key = record.key;
        let Some(slots) = self.instances.get_mut(&key) else {
            self.pools
                .entry(record.pool.clone())
                .or_default()
                .insert(key);
            self.instances.insert(key, InstanceSlots::new(record));
            self.reindex(key);
            return true;
        };
        if record.revision < slots.record.revision {
            return false;
        }
        if slots.record.pool != record.pool {
            if let Some(pool) = self.pools.get_mut(&slots.record.pool) {
                pool.remove(&key);
            }
            self.pools
                .entry(record.pool.clone())
                .or_default()
                .insert(key);
        }
        slots.record = record;
        self.reindex(key);
        false
    }

    /// Returns the instances of `pool`.
    pub(crate) fn of_pool(&self, pool: &str) -> impl Iterator<Item = &InstanceSlots> {
        let keys = self.pools.get(pool).into_iter().flatten();
        keys.filter_map(|key| self.instances.get(key))
    }

    /// Returns the open instance of `pool` with the most free capacity that `avoid` allows.
    ///
    /// Instances in avoided racks are selected only if there is no other.
    pub(crate) fn select(&self, pool: &str, avoid: &AntiAffinity) -> Option<instance::Key> {
        let open = self.by_free_capacity.get(pool)?;
        let mut fallback = None;
        for (_, key) in open {
            if avoid.instances.contains(key) {
                continue;
            }
            let is_avoided = match self.instances.get(key) {
                Some(slots) => avoid.racks.contains(&slots.record.rack),
                None => true,
            };
            if !is_avoided {
                return Some(*key);
            }
            fallback = fallback.or(Some(*key));
        }
        fallback
    }

    /// Returns the open instances of `pool` with free capacity, in descending order of it.
    pub(crate) fn sorted_by_free_capacity(&self, pool: &str) -> Vec<instance::Key> {
        let open = self.by_free_capacity.get(pool).into_iter().flatten();
        open.map(|(_, key)| *key).collect()
    }

    fn reindex(&mut self, key: instance::Key) {
        let Some(slots) = self.instances.get(&key) else {
            return;
        };
        let free_capacity = slots.free_capacity();
        let pool = &slots.record.pool;
        if let Some((old_pool, old)) = self.index_entries.get_mut(&key) {
            if *old == free_capacity && old_pool == pool {
                return;
            }
            if let Some(open) = self.by_free_capacity.get_mut(old_pool.as_str()) {
                open.remove(&(Reverse(*old), key));
            }
        }
        self.index_entries
            .insert(key, (pool.clone(), free_capacity));
        if free_capacity > 0 {
            let open = self.by_free_capacity.entry(pool.clone()).or_default();
            open.insert((Reverse(free_capacity), key));
        }
    }
}
