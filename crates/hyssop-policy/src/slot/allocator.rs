use super::{Action, Event, Grant};
use hyssop_model::prelude::*;

/// The instances and racks that a retry avoids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AntiAffinity {
    /// Instances that are never selected.
    pub instances: BTreeSet<instance::Key>,
    /// Racks that are selected only if no other rack has a free slot.
    pub racks: BTreeSet<String>,
}

impl AntiAffinity {
    /// Returns whether there are no constraints.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty() && self.racks.is_empty()
    }
}

/// Allocator of the slots that this entry may use.
pub trait Allocator: Send {
    /// Acquires a slot of `pool`, or returns `None` if none is free at this entry.
    fn acquire(&mut self, now: Instant, pool: &str, avoid: &AntiAffinity) -> Option<Grant>;

    /// Releases a slot after its request has finished.
    fn release(&mut self, now: Instant, grant: Grant, out: &mut Vec<Action>);

    /// Handles an event.
    fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>);

    /// Returns the number of slots of `pool` that this entry may use, in use or free.
    fn usable(&self, pool: &str) -> u32;

    /// Returns the number of slots of `pool` over all entries.
    fn total(&self, pool: &str) -> u32;

    /// Returns the number of slots of `pool` that peers have requested and not been lent.
    fn unmet(&self, pool: &str) -> u32;

    /// Returns the record of an instance.
    fn instance(&self, key: instance::Key) -> Option<&instance::Record>;

    /// Returns the number of requests that this entry has in flight on an instance.
    fn in_flight(&self, key: instance::Key) -> u32;
}
