use super::{Worker, WorkerKey};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Orders the workers that take tasks by the processor that they have left, for one pass of
/// placing: the best fit is then found without looking at all of them.
pub(super) struct Rooms {
    free: BTreeMap<WorkerKey, u64>,
    ordered: BTreeSet<(u64, WorkerKey)>,
}

impl Rooms {
    pub(super) fn of(workers: &BTreeMap<WorkerKey, Worker>, now: Duration) -> Self {
        let free: BTreeMap<WorkerKey, u64> = workers
            .iter()
            .filter(|(_, worker)| worker.takes_tasks(now))
            .map(|(key, worker)| (*key, left(worker)))
            .collect();
        let ordered = free.iter().map(|(key, free)| (*free, *key)).collect();
        Self { free, ordered }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the most that any worker has left, in thousandths of a core.
    pub(super) fn largest(&self) -> u64 {
        self.ordered.last().map_or(0, |(free, _)| *free)
    }

    /// Returns the workers that have at least `cpu` left, the least first.
    pub(super) fn from(&self, cpu: u64) -> impl Iterator<Item = &WorkerKey> {
        let first = (cpu, WorkerKey(0));
        self.ordered.range(first..).map(|(_, key)| key)
    }

    /// Takes a worker's room anew after tasks were given to it or taken back.
    pub(super) fn update(&mut self, workers: &BTreeMap<WorkerKey, Worker>, key: WorkerKey) {
        let (Some(free), Some(worker)) = (self.free.get_mut(&key), workers.get(&key)) else {
            return;
        };
        self.ordered.remove(&(*free, key));
        *free = left(worker);
        self.ordered.insert((*free, key));
    }
}

fn left(worker: &Worker) -> u64 {
    worker.listing.capacity.cpu.saturating_sub(worker.used.cpu)
}
