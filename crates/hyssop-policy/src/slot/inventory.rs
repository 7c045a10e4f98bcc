use super::{Avoid, Site};
use hyssop_model::prelude::*;
use std::cmp::Reverse;

/// Holds the instances by key, and by pool in the order of their free slots.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    sites: BTreeMap<instance::Key, Site>,
    pools: BTreeMap<String, BTreeSet<instance::Key>>,
    open: BTreeMap<String, BTreeSet<(Reverse<u32>, instance::Key)>>,
    ranks: BTreeMap<instance::Key, (String, u32)>,
}

impl Inventory {
    pub(crate) fn get(&self, key: instance::Key) -> Option<&Site> {
        self.sites.get(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (instance::Key, &Site)> {
        self.sites.iter().map(|(key, site)| (*key, site))
    }

    pub(crate) fn keys(&self) -> Vec<instance::Key> {
        self.sites.keys().copied().collect()
    }

    /// Changes a site and brings the indices up to date.
    pub(crate) fn update<T>(
        &mut self,
        key: instance::Key,
        change: impl FnOnce(&mut Site) -> T,
    ) -> Option<T> {
        let site = self.sites.get_mut(&key)?;
        let result = change(site);
        self.reindex(key);
        Some(result)
    }

    /// Takes in a row, unless a newer one is known; returns whether the instance is new.
    pub(crate) fn insert(&mut self, record: instance::Record) -> bool {
        let key = record.key;
        let Some(site) = self.sites.get_mut(&key) else {
            self.pools
                .entry(record.pool.clone())
                .or_default()
                .insert(key);
            self.sites.insert(key, Site::new(record));
            self.reindex(key);
            return true;
        };
        if record.revision < site.record.revision {
            return false;
        }
        if site.record.pool != record.pool {
            if let Some(pool) = self.pools.get_mut(&site.record.pool) {
                pool.remove(&key);
            }
            self.pools
                .entry(record.pool.clone())
                .or_default()
                .insert(key);
        }
        site.record = record;
        self.reindex(key);
        false
    }

    /// Returns the sites of `pool`.
    pub(crate) fn of_pool(&self, pool: &str) -> impl Iterator<Item = &Site> {
        let keys = self.pools.get(pool).into_iter().flatten();
        keys.filter_map(|key| self.sites.get(key))
    }

    /// Returns the open instance of `pool` with the most free slots that `avoid` allows, in
    /// another rack if there is one.
    pub(crate) fn best(&self, pool: &str, avoid: &Avoid) -> Option<instance::Key> {
        let open = self.open.get(pool)?;
        let mut second_best = None;
        for (_, key) in open {
            if avoid.instances.contains(key) {
                continue;
            }
            let is_avoided = match self.sites.get(key) {
                Some(site) => avoid.racks.contains(&site.record.rack),
                None => true,
            };
            if !is_avoided {
                return Some(*key);
            }
            second_best = second_best.or(Some(*key));
        }
        second_best
    }

    /// Returns the open instances of `pool` with own free slots, the freest first.
    pub(crate) fn freest(&self, pool: &str) -> Vec<instance::Key> {
        let open = self.open.get(pool).into_iter().flatten();
        open.map(|(_, key)| *key).collect()
    }

    fn reindex(&mut self, key: instance::Key) {
        let Some(site) = self.sites.get(&key) else {
            return;
        };
        let openings = site.openings();
        let pool = &site.record.pool;
        if let Some((old_pool, old)) = self.ranks.get_mut(&key) {
            if *old == openings && old_pool == pool {
                return;
            }
            if let Some(open) = self.open.get_mut(old_pool.as_str()) {
                open.remove(&(Reverse(*old), key));
            }
        }
        self.ranks.insert(key, (pool.clone(), openings));
        if openings > 0 {
            let open = self.open.entry(pool.clone()).or_default();
            open.insert((Reverse(openings), key));
        }
    }
}
