use super::job::Rule;
use hyssop_model::work::Configuration;
use hyssop_platform::rows::{decode, encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The longest key of a row, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// The digits of the hash in the key of a longer name.
const HASH_DIGITS: usize = 16;

/// The rules of the queues: those in the configuration, and those of removed queues with open jobs.
///
/// The rules of each queue with jobs are stored, so that they outlive both the queue and the owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Rules {
    known: BTreeMap<String, Rule>,
    /// The queues in the configuration.
    configured: BTreeSet<String>,
    /// The rules as the rows have them.
    stored: BTreeMap<String, Rule>,
    /// Queues with jobs whose known rules are not stored yet.
    unstored: BTreeSet<String>,
}

/// The stored row of a queue's rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RuleRow {
    queue: String,
    rule: Rule,
}

/// Returns the key of a queue's row.
pub(super) fn row_key(queue: &str) -> String {
    if queue.len() <= MAX_KEY_BYTES {
        return queue.to_owned();
    }
    let hash = xxhash_rust::xxh3::xxh3_64(queue.as_bytes());
    let mut end = MAX_KEY_BYTES - HASH_DIGITS;
    while !queue.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}{hash:0HASH_DIGITS$x}", &queue[..end])
}

impl Rules {
    pub(super) fn get(&self, queue: &str) -> Option<&Rule> {
        self.known.get(queue)
    }

    /// Applies a configuration.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        self.configured = configuration
            .queues
            .values()
            .map(|queue| queue.name.clone())
            .collect();
        for queue in configuration.queues.values() {
            let rule = Rule::new(queue);
            if self.stored.get(&queue.name).is_some_and(|old| *old != rule) {
                self.unstored.insert(queue.name.clone());
            }
            self.known.insert(queue.name.clone(), rule);
        }
    }

    /// Adds the rules of a queue unless they are known; returns whether they were not.
    pub(super) fn learn(&mut self, queue: &str, rule: Rule) -> bool {
        let is_new = !self.known.contains_key(queue);
        if is_new {
            self.known.insert(queue.to_owned(), rule);
        }
        is_new
    }

    /// Marks the rules of a queue as needed by a job.
    pub(super) fn require(&mut self, queue: &str) {
        let known = self.known.get(queue);
        if known.is_some() && known != self.stored.get(queue) {
            self.unstored.insert(queue.to_owned());
        }
    }

    /// Restores the rules of one stored row; returns `None` if it can't be decoded.
    pub(super) fn recover(&mut self, value: &[u8]) -> Option<()> {
        let row: RuleRow = decode(value)?;
        self.known.insert(row.queue.clone(), row.rule);
        self.stored.insert(row.queue, row.rule);
        Some(())
    }

    /// Returns whether the rules of a queue are to be stored.
    pub(super) fn is_unstored(&self, queue: &str) -> bool {
        self.unstored.contains(queue)
    }

    /// Returns whether any rules are to be stored.
    pub(super) fn has_unstored(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Returns the queues whose rules are to be stored, with the values of their rows.
    pub(super) fn unstored(&self) -> impl Iterator<Item = (&String, Rule, Vec<u8>)> {
        self.unstored.iter().filter_map(|queue| {
            let rule = *self.known.get(queue)?;
            let row = RuleRow {
                queue: queue.clone(),
                rule,
            };
            Some((queue, rule, encode(&row)))
        })
    }

    /// Records the rules that a committed batch has stored.
    pub(super) fn on_stored(&mut self, queue: String, rule: Rule) {
        if self.known.get(&queue) == Some(&rule) {
            self.unstored.remove(&queue);
        }
        self.stored.insert(queue, rule);
    }

    /// Returns the queues that the configuration no longer has.
    pub(super) fn removed_queues(&self) -> impl Iterator<Item = &String> {
        let known = self.known.keys();
        known.filter(|queue| !self.configured.contains(*queue))
    }

    /// Forgets the rules of a queue; returns whether they have a row.
    pub(super) fn forget(&mut self, queue: &str) -> bool {
        self.known.remove(queue);
        self.unstored.remove(queue);
        self.stored.remove(queue).is_some()
    }
}
