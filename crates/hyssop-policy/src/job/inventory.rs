use hyssop_model::arena::Names;
use hyssop_model::job::{Size, Worker};
use std::collections::{BTreeMap, BTreeSet};

hyssop_model::arena_key!(
    /// Names a worker within the scheduler.
    Key
);

/// Knows what is free on each worker, and finds the fullest worker that a job fits on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inventory {
    names: Names<Key>,
    workers: BTreeMap<Key, Entry>,
    /// The workers that take jobs, by pool and free accelerators and processors.
    order: BTreeMap<String, BTreeSet<(u64, u64, Key)>>,
    whole: Size,
    /// The memory of the largest worker of each pool.
    largest_memory_mib: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Entry {
    worker: Worker,
    free: Size,
    is_open: bool,
}

impl Inventory {
    /// Takes in the list of workers, and returns whether it changed; what was reserved stays
    /// reserved.
    pub(crate) fn set_workers(&mut self, workers: Vec<Worker>) -> bool {
        let listed: BTreeSet<Key> = workers
            .iter()
            .map(|worker| self.names.intern(&worker.name))
            .collect();
        let gone: Vec<Key> = self
            .workers
            .keys()
            .filter(|key| !listed.contains(key))
            .copied()
            .collect();
        let is_changed = !gone.is_empty() || workers.len() != self.workers.len() - gone.len();
        for key in gone {
            self.remove_from_order(key);
            self.workers.remove(&key);
        }
        for worker in workers {
            let key = self.names.intern(&worker.name);
            if self.workers.contains_key(&key) {
                continue;
            }
            let entry = Entry {
                free: worker.size,
                worker,
                is_open: true,
            };
            self.workers.insert(key, entry);
            self.add_to_order(key);
        }
        self.whole = Size::default();
        self.largest_memory_mib.clear();
        for entry in self.workers.values() {
            let largest = self
                .largest_memory_mib
                .entry(entry.worker.pool.clone())
                .or_default();
            *largest = (*largest).max(entry.worker.size.memory_mib);
            self.whole.add(&entry.worker.size);
        }
        is_changed
    }

    /// Returns the names of all pools.
    pub(crate) fn pools(&self) -> Vec<String> {
        self.largest_memory_mib.keys().cloned().collect()
    }

    /// Returns what all workers have together.
    pub(crate) fn whole(&self) -> &Size {
        &self.whole
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Tells whether any worker of a pool could hold a job when it is empty.
    pub(crate) fn could_hold(&self, pool: &str, size: &Size) -> bool {
        let of_pool = self
            .workers
            .values()
            .filter(|entry| entry.worker.pool == pool);
        of_pool
            .into_iter()
            .any(|entry| entry.worker.size.can_fit(size))
    }

    /// Returns the open worker with the least free processors that a job fits on.
    ///
    /// A job without accelerators goes to workers without free ones first, so that it does not
    /// block them.
    pub(crate) fn find(
        &self,
        pool: &str,
        size: &Size,
        candidates: usize,
        avoid: &[String],
    ) -> Option<Key> {
        let order = self.order.get(pool)?;
        let mut accelerators = size.accelerators;
        loop {
            let from = (accelerators, size.cpu_millis, Key(0));
            let to = (accelerators + 1, 0, Key(0));
            for (_, _, key) in order.range(from..to).take(candidates) {
                let fits =
                    |entry: &Entry| entry.free.can_fit(size) && !avoid.contains(&entry.worker.name);
                if self.workers.get(key).is_some_and(fits) {
                    return Some(*key);
                }
            }
            // The next number of free accelerators that any worker has.
            accelerators = order.range(to..).next()?.0;
        }
    }

    /// Returns the memory of the largest worker of a pool.
    pub(crate) fn largest_memory_mib(&self, pool: &str) -> u64 {
        self.largest_memory_mib.get(pool).copied().unwrap_or(0)
    }

    /// Tells whether at least two open workers of a pool have room for `size`.
    pub(crate) fn has_two(&self, pool: &str, size: &Size) -> bool {
        let order = self.order.get(pool).into_iter().flatten();
        let entries = order.filter_map(|(_, _, key)| self.workers.get(key));
        entries
            .filter(|entry| entry.free.can_fit(size))
            .nth(1)
            .is_some()
    }

    /// Returns the key of a worker by its name.
    pub(crate) fn key(&mut self, worker: &str) -> Key {
        self.names.intern(worker)
    }

    /// Returns the name of a worker.
    pub(crate) fn name(&self, key: Key) -> &str {
        self.names.name(key)
    }

    /// Returns what is free on a worker.
    pub(crate) fn free(&self, key: Key) -> Option<&Size> {
        self.workers.get(&key).map(|entry| &entry.free)
    }

    /// Returns the open workers of a pool.
    pub(crate) fn of_pool<'a>(&'a self, pool: &str) -> impl Iterator<Item = Key> + 'a {
        let order = self.order.get(pool).into_iter().flatten();
        order.map(|(_, _, key)| *key)
    }

    pub(crate) fn reserve(&mut self, key: Key, size: &Size) {
        self.change(key, |entry| entry.free.subtract(size));
    }

    pub(crate) fn release(&mut self, key: Key, size: &Size) {
        self.change(key, |entry| entry.free.add(size));
    }

    /// Opens a worker for jobs, or closes it.
    pub(crate) fn set_open(&mut self, key: Key, is_open: bool) {
        self.change(key, |entry| entry.is_open = is_open);
    }

    fn change(&mut self, key: Key, change: impl FnOnce(&mut Entry)) {
        self.remove_from_order(key);
        if let Some(entry) = self.workers.get_mut(&key) {
            change(entry);
        }
        self.add_to_order(key);
    }

    fn remove_from_order(&mut self, key: Key) {
        let Some(entry) = self.workers.get(&key) else {
            return;
        };
        if let Some(order) = self.order.get_mut(&entry.worker.pool) {
            order.remove(&(entry.free.accelerators, entry.free.cpu_millis, key));
        }
    }

    fn add_to_order(&mut self, key: Key) {
        let Some(entry) = self.workers.get(&key).filter(|entry| entry.is_open) else {
            return;
        };
        let place = (entry.free.accelerators, entry.free.cpu_millis, key);
        match self.order.get_mut(&entry.worker.pool) {
            Some(order) => {
                order.insert(place);
            }
            None => {
                let order = BTreeSet::from([place]);
                self.order.insert(entry.worker.pool.clone(), order);
            }
        }
    }
}
