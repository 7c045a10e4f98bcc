use super::{Action, Allocator, AntiAffinity, Event, Grant};
use hyssop_model::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// A baseline allocator that picks the less loaded of two random instances.
///
/// This is the power of two choices, after Mitzenmacher, "The Power of Two Choices in Randomized
/// Load Balancing", IEEE TPDS 12(10), 2001. Entries don't coordinate, so their requests together
/// may exceed an instance's slots; the allocator relies on the instance to answer that it is busy.
#[derive(Debug, Default)]
pub struct TwoChoices {
    instances: BTreeMap<instance::Key, Candidate>,
    draws: u64,
}

#[derive(Debug)]
struct Candidate {
    record: instance::Record,
    in_flight: u32,
    is_healthy: bool,
}

impl TwoChoices {
    /// Creates an allocator whose pseudo-random choices start from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            instances: BTreeMap::new(),
            draws: seed,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws = self.draws.wrapping_add(1);
        let hash = xxh3_64(&self.draws.to_le_bytes());
        (hash % below as u64) as usize
    }
}

impl Allocator for TwoChoices {
    fn acquire(&mut self, _now: Instant, pool: &str, avoid: &AntiAffinity) -> Option<Grant> {
        let eligible = |(key, candidate): (&instance::Key, &Candidate)| {
            let record = &candidate.record;
            let is_eligible = candidate.is_healthy
                && record.pool == pool
                && record.state == instance::State::Serving
                && candidate.in_flight < record.slots
                && !avoid.instances.contains(key);
            is_eligible.then_some(*key)
        };
        let candidates: Vec<instance::Key> = self.instances.iter().filter_map(eligible).collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.draw(candidates.len())];
        let second = candidates[self.draw(candidates.len())];
        let load = |key: &instance::Key| {
            self.instances
                .get(key)
                .map_or(u32::MAX, |candidate| candidate.in_flight)
        };
        let instance = if load(&second) < load(&first) {
            second
        } else {
            first
        };
        self.instances.get_mut(&instance)?.in_flight += 1;
        Some(Grant {
            instance,
            index: 0,
            loan: None,
        })
    }

    fn release(&mut self, _now: Instant, grant: Grant, _out: &mut Vec<Action>) {
        if let Some(candidate) = self.instances.get_mut(&grant.instance) {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
    }

    fn step(&mut self, _now: Instant, event: Event, _out: &mut Vec<Action>) {
        match event {
            Event::Instances(records) => {
                for record in records {
                    let candidate = self
                        .instances
                        .entry(record.key)
                        .or_insert_with(|| Candidate {
                            record: record.clone(),
                            in_flight: 0,
                            is_healthy: true,
                        });
                    candidate.record = record;
                }
            }
            Event::Usable {
                instance,
                is_usable,
            } => {
                if let Some(candidate) = self.instances.get_mut(&instance) {
                    candidate.is_healthy = is_usable;
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
            .instances
            .values()
            .filter(|candidate| candidate.record.pool == pool);
        of_pool.map(|candidate| candidate.record.slots).sum()
    }

    fn unmet(&self, _pool: &str) -> u32 {
        0
    }

    fn instance(&self, key: instance::Key) -> Option<&instance::Record> {
        self.instances.get(&key).map(|candidate| &candidate.record)
    }

    fn in_flight(&self, key: instance::Key) -> u32 {
        self.instances
            .get(&key)
            .map_or(0, |candidate| candidate.in_flight)
    }
}
