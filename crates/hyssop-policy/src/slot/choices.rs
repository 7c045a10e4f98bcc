use super::{Action, Allocator, Avoid, Event, Grant};
use hyssop_model::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Picks the less loaded of two instances and relies on their busy answers: a baseline.
///
/// This is the power of two choices, after Mitzenmacher, "The Power of Two Choices in Randomized
/// Load Balancing", IEEE TPDS 12(10), 2001. Entries share nothing, so the sum of what they start
/// may exceed an instance's slots.
#[derive(Debug, Default)]
pub struct Choices {
    sites: BTreeMap<instance::Key, Choice>,
    draws: u64,
}

#[derive(Debug)]
struct Choice {
    record: instance::Record,
    in_flight: u32,
    is_healthy: bool,
}

impl Choices {
    /// Makes an allocator whose draws start from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            sites: BTreeMap::new(),
            draws: seed,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws = self.draws.wrapping_add(1);
        let hash = xxh3_64(&self.draws.to_le_bytes());
        (hash % below as u64) as usize
    }
}

impl Allocator for Choices {
    fn acquire(&mut self, _now: Instant, pool: &str, avoid: &Avoid) -> Option<Grant> {
        let open = |(key, choice): (&instance::Key, &Choice)| {
            let record = &choice.record;
            let is_open = choice.is_healthy
                && record.pool == pool
                && record.state == instance::State::Serving
                && choice.in_flight < record.slots
                && !avoid.instances.contains(key);
            is_open.then_some(*key)
        };
        let candidates: Vec<instance::Key> = self.sites.iter().filter_map(open).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.draw(candidates.len())];
        let second = candidates[self.draw(candidates.len())];
        let load = |key: &instance::Key| {
            self.sites
                .get(key)
                .map_or(u32::MAX, |choice| choice.in_flight)
        };
        let instance = if load(&second) < load(&first) {
            second
        } else {
            first
        };
        self.sites.get_mut(&instance)?.in_flight += 1;
        Some(Grant {
            instance,
            index: 0,
            loan: None,
        })
    }

    fn release(&mut self, _now: Instant, grant: Grant, _out: &mut Vec<Action>) {
        if let Some(choice) = self.sites.get_mut(&grant.instance) {
            choice.in_flight = choice.in_flight.saturating_sub(1);
        }
    }

    fn step(&mut self, _now: Instant, event: Event, _out: &mut Vec<Action>) {
        match event {
            Event::Instances(records) => {
                for record in records {
                    let choice = self.sites.entry(record.key).or_insert_with(|| Choice {
                        record: record.clone(),
                        in_flight: 0,
                        is_healthy: true,
                    });
                    choice.record = record;
                }
            }
            Event::Usable {
                instance,
                is_usable,
            } => {
                if let Some(choice) = self.sites.get_mut(&instance) {
                    choice.is_healthy = is_usable;
                }
            }
            _ => {}
        }
    }

    fn usable(&self, pool: &str) -> u32 {
        self.total(pool)
    }

    fn total(&self, pool: &str) -> u32 {
        let of_pool = self
            .sites
            .values()
            .filter(|choice| choice.record.pool == pool);
        of_pool.map(|choice| choice.record.slots).sum()
    }

    fn unmet(&self, _pool: &str) -> u32 {
        0
    }

    fn instance(&self, key: instance::Key) -> Option<&instance::Record> {
        self.sites.get(&key).map(|choice| &choice.record)
    }

    fn in_flight(&self, key: instance::Key) -> u32 {
        self.sites.get(&key).map_or(0, |choice| choice.in_flight)
    }
}
