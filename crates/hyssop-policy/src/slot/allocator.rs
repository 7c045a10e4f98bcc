use super::{Action, Event, Grant};
use hyssop_model::prelude::*;

/// Names what a retry keeps away from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Avoid {
    /// Instances that are not used.
    pub instances: BTreeSet<instance::Key>,
    /// Racks that are used only when no other has a slot.
    pub racks: BTreeSet<String>,
}

impl Avoid {
    /// Tells whether there is nothing to keep away from.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty() && self.racks.is_empty()
    }
}

/// Hands out the slots that this entry may use.
pub trait Allocator: Send {
    /// Takes a slot of `pool`, if one is free here.
    fn acquire(&mut self, now: Instant, pool: &str, avoid: &Avoid) -> Option<Grant>;

    /// Gives a slot back after its request ended.
    fn release(&mut self, now: Instant, grant: Grant, out: &mut Vec<Action>);

    /// Takes in an event.
    fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>);

    /// Returns the number of slots of `pool` that this entry may use, in use or free.
    fn usable(&self, pool: &str) -> u32;

    /// Returns the number of slots of `pool` over all entries.
    fn total(&self, pool: &str) -> u32;

    /// Returns how many slots of `pool` peers want and were not lent.
    fn unmet(&self, pool: &str) -> u32;

    /// Returns the row of an instance.
    fn instance(&self, key: instance::Key) -> Option<&instance::Record>;

    /// Returns how many requests this entry has in progress on an instance.
    fn in_flight(&self, key: instance::Key) -> u32;
}
