use hyssop_model::arena::Names;
use hyssop_model::job::{Size, Worker};
use std::collections::{BTreeMap, BTreeSet};

hyssop_model::arena_key!(
    /// The key of a worker within the scheduler.
    Key
);

/// The free capacity of each worker, indexed to find the fullest worker that a job fits on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inventory {
    names: Names<Key>,
    workers: BTreeMap<Key, Entry>,
    /// The schedulable workers of each pool, by free accelerators and CPU.
    index: BTreeMap<String, BTreeSet<(u64, u64, Key)>>,
    capacity: Size,
    /// The memory of the largest worker of each pool.
    largest_memory_mib: BTreeMap<String, u64>,
}

#[derive(Clone, Debug)]
struct Entry {
    worker: Worker,
    free: Size,
    is_schedulable: bool,
}

impl Inventory {
    /// Replaces the list of workers, and returns whether it changed. Reservations on workers that
    /// stay are kept.
    pub(crate) fn set_workers(&mut self, workers: Vec<Worker>) -> bool {
        let listed: BTreeSet<Key> = workers
            .iter()
            .map(|worker| self.names.intern(&worker.name))
            .collect();
        let removed: Vec<Key> = self
            .workers
            .keys()
            .filter(|key| !listed.contains(key))
            .copied()
            .collect();
        let is_changed = !removed.is_empty() || workers.len() != self.workers.len() - removed.len();
        for key in removed {
            self.remove_from_index(key);
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
                is_schedulable: true,
            };
            self.workers.insert(key, entry);
            self.add_to_index(key);
        }
        self.capacity = Size::default();
        self.largest_memory_mib.clear();
        for entry in self.workers.values() {
            let largest = self
                .largest_memory_mib
                .entry(entry.worker.pool.clone())
                .or_default();
            *largest = (*largest).max(entry.worker.size.memory_mib);
            self.capacity.add(&entry.worker.size);
        }
        is_changed
    }

    /// Returns the names of all pools.
    pub(crate) fn pools(&self) -> Vec<String> {
        self.largest_memory_mib.keys().cloned().collect()
    }

    /// Returns the total capacity of all workers.
    pub(crate) fn capacity(&self) -> &Size {
        &self.capacity
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether a job fits on any worker of a pool while that worker is empty.
    pub(crate) fn can_ever_fit(&self, pool: &str, size: &Size) -> bool {
        let workers_of_pool = self
            .workers
            .values()
            .filter(|entry| entry.worker.pool == pool);
        workers_of_pool
            .into_iter()
            .any(|entry| entry.worker.size.can_fit(size))
    }

    /// Returns the schedulable worker with the least free CPU that a job fits on.
    ///
    /// Skips the workers of `avoid`, and examines at most `max_candidates` workers for each number
    /// of free accelerators.
    ///
    /// Workers with fewer free accelerators come first, so that a job without accelerators does
    /// not occupy a worker that has free ones.
    pub(crate) fn find(
        &self,
        pool: &str,
        size: &Size,
        max_candidates: usize,
        avoid: &[String],
    ) -> Option<Key> {
        let index = self.index.get(pool)?;
        let mut accelerators = size.accelerators;
        loop {
            let from = (accelerators, size.cpu_millis, Key(0));
            let to = (accelerators + 1, 0, Key(0));
            for (_, _, key) in index.range(from..to).take(max_candidates) {
                let fits =
                    |entry: &Entry| entry.free.can_fit(size) && !avoid.contains(&entry.worker.name);
                if self.workers.get(key).is_some_and(fits) {
                    return Some(*key);
                }
            }
            // Continues with the next higher number of free accelerators of any worker.
            accelerators = index.range(to..).next()?.0;
        }
    }

    /// Returns the memory of the largest worker of a pool.
    pub(crate) fn largest_memory_mib(&self, pool: &str) -> u64 {
        self.largest_memory_mib.get(pool).copied().unwrap_or(0)
    }

    /// Returns whether `size` fits on at least two schedulable workers of a pool.
    pub(crate) fn has_two_candidates(&self, pool: &str, size: &Size) -> bool {
        let index = self.index.get(pool).into_iter().flatten();
        let entries = index.filter_map(|(_, _, key)| self.workers.get(key));
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

    /// Returns the free capacity of a worker.
    pub(crate) fn free(&self, key: Key) -> Option<&Size> {
        self.workers.get(&key).map(|entry| &entry.free)
    }

    /// Returns the schedulable workers of a pool.
    pub(crate) fn schedulable_workers<'a>(&'a self, pool: &str) -> impl Iterator<Item = Key> + 'a {
        let index = self.index.get(pool).into_iter().flatten();
        index.map(|(_, _, key)| *key)
    }

    pub(crate) fn reserve(&mut self, key: Key, size: &Size) {
        self.update(key, |entry| entry.free.subtract(size));
    }

    pub(crate) fn release(&mut self, key: Key, size: &Size) {
        self.update(key, |entry| entry.free.add(size));
    }

    /// Sets whether jobs may be placed on a worker.
    pub(crate) fn set_schedulable(&mut self, key: Key, is_schedulable: bool) {
        self.update(key, |entry| entry.is_schedulable = is_schedulable);
    }

    fn update(&mut self, key: Key, update: impl FnOnce(&mut Entry)) {
        self.remove_from_index(key);
        if let Some(entry) = self.workers.get_mut(&key) {
            update(entry);
        }
        self.add_to_index(key);
    }

    fn remove_from_index(&mut self, key: Key) {
        let Some(entry) = self.workers.get(&key) else {
            return;
        };
        if let Some(index) = self.index.get_mut(&entry.worker.pool) {
            index.remove(&(entry.free.accelerators, entry.free.cpu_millis, key));
        }
    }

    fn add_to_index(&mut self, key: Key) {
        let Some(entry) = self.workers.get(&key).filter(|entry| entry.is_schedulable) else {
            return;
        };
        let position = (entry.free.accelerators, entry.free.cpu_millis, key);
        match self.index.get_mut(&entry.worker.pool) {
            Some(index) => {
                index.insert(position);
            }
            None => {
                let index = BTreeSet::from([position]);
                self.index.insert(entry.worker.pool.clone(), index);
            }
        }
    }
}
