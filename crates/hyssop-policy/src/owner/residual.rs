use super::{Worker, WorkerKey};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The workers that accept tasks, ordered by free CPU, for one placement pass: best fit then needs
/// no scan of all workers.
pub(super) struct ResidualCapacity {
    free: BTreeMap<WorkerKey, u64>,
    ordered: BTreeSet<(u64, WorkerKey)>,
}

impl ResidualCapacity {
    pub(super) fn new(workers: &BTreeMap<WorkerKey, Worker>, now: Duration) -> Self {
        let free: BTreeMap<WorkerKey, u64> = workers
            .iter()
            .filter(|(_, worker)| worker.accepts_tasks(now))
            .map(|(key, worker)| (*key, free_cpu(worker)))
            .collect();
        let ordered = free.iter().map(|(key, free)| (*free, *key)).collect();
        Self { free, ordered }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the largest free CPU of any worker, in thousandths of a core.
    pub(super) fn largest_free_cpu(&self) -> u64 {
        self.ordered.last().map_or(0, |(free, _)| *free)
    }

    /// Returns the workers with at least `cpu` free, least free CPU first.
    pub(super) fn with_at_least(&self, cpu: u64) -> impl Iterator<Item = &WorkerKey> {
        let first = (cpu, WorkerKey(0));
        self.ordered.range(first..).map(|(_, key)| key)
    }

    /// Updates a worker's free CPU after reservations on it were added or removed.
    pub(super) fn update(&mut self, workers: &BTreeMap<WorkerKey, Worker>, key: WorkerKey) {
        let (Some(free), Some(worker)) = (self.free.get_mut(&key), workers.get(&key)) else {
            return;
        };
        self.ordered.remove(&(*free, key));
        *free = free_cpu(worker);
        self.ordered.insert((*free, key));
    }
}

/// Returns a worker's free CPU, 0 if its runs take more than its capacity.
pub(super) fn free_cpu(worker: &Worker) -> u64 {
    worker.listing.capacity.cpu.saturating_sub(worker.used.cpu)
}
