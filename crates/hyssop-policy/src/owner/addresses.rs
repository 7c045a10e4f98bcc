use super::rules::row_key;
use super::Scheduler;
use crate::directory::Entry;
use hyssop_model::work::{Address, Configuration};
use hyssop_platform::rows::{decode, encode};
use std::collections::{BTreeMap, BTreeSet};

/// Table of the addresses at which a pool has accepted jobs, by queue.
pub(super) const ADDRESSES: &str = "address";

/// The addresses at which the jobs of a pool were submitted, by queue.
///
/// They are stored before the first job and kept with the last one, so that every process finds a
/// job whose queue the configuration has assigned to another pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Addresses {
    known: BTreeMap<String, BTreeSet<Address>>,
    /// The queues that the configuration assigns to this pool.
    configured: BTreeSet<String>,
    /// The addresses as the rows have them.
    stored: BTreeMap<String, BTreeSet<Address>>,
    /// Queues whose known addresses are not stored yet.
    unstored: BTreeSet<String>,
}

impl Addresses {
    /// Applies a configuration for a pool.
    pub(super) fn configure(&mut self, pool: &str, configuration: &Configuration) {
        let queues = configuration.queues.values();
        self.configured = queues
            .filter(|queue| queue.pool == pool)
            .map(|queue| queue.name.clone())
            .collect();
    }

    /// Adds an address of a queue.
    pub(super) fn learn(&mut self, queue: &str, address: Address) {
        let known = self.known.entry(queue.to_owned()).or_default();
        if known.insert(address) {
            self.unstored.insert(queue.to_owned());
        }
    }

    /// Restores a stored row; returns `None` if it can't be decoded.
    pub(super) fn recover(&mut self, value: &[u8]) -> Option<()> {
        let entry: Entry = decode(value)?;
        let queue = entry.queue.clone();
        self.known.insert(queue.clone(), entry.addresses.clone());
        self.stored.insert(queue, entry.addresses);
        Some(())
    }

    /// Returns whether the addresses of a queue are to be stored.
    pub(super) fn is_unstored(&self, queue: &str) -> bool {
        self.unstored.contains(queue)
    }

    /// Returns whether any addresses are to be stored.
    pub(super) fn has_unstored(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Returns the entries that are to be stored, with the keys and the values of their rows.
    pub(super) fn unstored(&self) -> impl Iterator<Item = (Entry, String, Vec<u8>)> + '_ {
        self.unstored.iter().filter_map(|queue| {
            let entry = Entry {
                queue: queue.clone(),
                addresses: self.known.get(queue)?.clone(),
            };
            let value = encode(&entry);
            Some((entry, row_key(queue), value))
        })
    }

    /// Records an entry that a committed batch has stored.
    pub(super) fn on_stored(&mut self, entry: Entry) {
        if self.known.get(&entry.queue) == Some(&entry.addresses) {
            self.unstored.remove(&entry.queue);
        }
        self.stored.insert(entry.queue, entry.addresses);
    }

    /// Returns the queues that the configuration doesn't assign to this pool.
    pub(super) fn removed_queues(&self) -> impl Iterator<Item = &String> {
        let known = self.known.keys();
        known.filter(|queue| !self.configured.contains(*queue))
    }

    /// Forgets the addresses of a queue; returns whether they have a row.
    pub(super) fn forget(&mut self, queue: &str) -> bool {
        self.known.remove(queue);
        self.unstored.remove(queue);
        self.stored.remove(queue).is_some()
    }
}

impl Scheduler {
    /// Returns the table in which the owners of pools store the [entries](Entry) of their jobs.
    pub fn addresses_table() -> &'static str {
        ADDRESSES
    }

    /// Records the address at which a job of a queue is submitted.
    pub fn learn_address(&mut self, queue: &str, address: Address) {
        self.addresses.learn(queue, address);
    }

    /// Returns the queues that the configuration no longer assigns to this pool, and of which it keeps no
    /// job, finished ones included.
    pub(super) fn unused_addresses(&self) -> BTreeSet<String> {
        let mut unused: BTreeSet<String> = self.addresses.removed_queues().cloned().collect();
        if !unused.is_empty() {
            for job in self.jobs.values() {
                unused.remove(&job.queue);
            }
            for job in self.ended.values() {
                unused.remove(&*job.queue);
            }
        }
        unused
    }
}
