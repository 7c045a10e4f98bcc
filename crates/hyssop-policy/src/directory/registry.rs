use super::Entry;
use hyssop_model::work::{Address, Configuration, Queue};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The entries of all pools, and the assignments that the configuration has ended lately.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// The entries by pool and row key.
    entries: BTreeMap<(String, String), Entry>,
    /// Until when a process with an earlier configuration may have the pool accept a job.
    ended: BTreeMap<(Address, String), Duration>,
}

impl Directory {
    /// How long another process may go on with an earlier configuration, a request under way included:
    /// twice the time in which it is to apply a change, while the store is out of order.
    pub const CONFIGURATION_LAG: Duration = Duration::from_secs(14);

    /// Drops all entries, before a complete reading of them.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Applies the row `key` of a pool, `None` if it was removed.
    pub fn apply(&mut self, pool: &str, key: &str, entry: Option<Entry>) {
        let name = (pool.to_owned(), key.to_owned());
        match entry {
            Some(entry) => self.entries.insert(name, entry),
            None => self.entries.remove(&name),
        };
    }

    /// Records the assignments that a change of the configuration ends.
    pub fn reconfigure(&mut self, before: &Configuration, after: &Configuration, now: Duration) {
        self.ended.retain(|_, until| now < *until);
        let assignment = |queue: &Queue| (Address::of(queue), queue.pool.clone());
        let kept: BTreeSet<(Address, String)> = after.queues.values().map(assignment).collect();
        for ended in before.queues.values().map(assignment) {
            if !kept.contains(&ended) {
                self.ended.insert(ended, now + Self::CONFIGURATION_LAG);
            }
        }
    }

    /// Returns the pools that may have jobs submitted to the address of a queue, without the pool that
    /// the configuration assigns to it.
    pub fn other_pools(&self, queue: &Queue, now: Duration) -> BTreeSet<String> {
        let address = Address::of(queue);
        let stored = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.addresses.contains(&address))
            .map(|((pool, _), _)| pool);
        let ended = self
            .ended
            .iter()
            .filter(|((ended, _), until)| *ended == address && now < **until)
            .map(|((_, pool), _)| pool);
        let pools = stored.chain(ended).filter(|pool| **pool != queue.pool);
        pools.cloned().collect()
    }

    /// Returns the pools and the names of the queues under which jobs submitted to the address of a
    /// queue may wait, the configured ones among them.
    pub fn queues_at(&self, queue: &Queue) -> BTreeSet<(String, String)> {
        let address = Address::of(queue);
        let stored = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.addresses.contains(&address))
            .map(|((pool, _), entry)| (pool.clone(), entry.queue.clone()));
        let configured = (queue.pool.clone(), queue.name.clone());
        stored.chain([configured]).collect()
    }
}
