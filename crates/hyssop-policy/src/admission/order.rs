use super::Waiting;
use hyssop_model::prelude::*;

/// Is a request's place within its lane: the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The urgency, or 0 where it does not count.
    pub class: usize,
    /// The deadline, where it counts.
    pub deadline: Option<Instant>,
    /// The order of arrival.
    pub sequence: u64,
}

/// Sorts requests into lanes and orders each lane.
pub trait Order: Send {
    /// Returns the lane of a request; lanes share the slots by weight.
    fn lane(&self, waiting: &Waiting) -> flow::Key;

    /// Returns the place of a request within its lane.
    fn rank(&self, waiting: &Waiting, sequence: u64) -> Rank;

    /// Tells whether deferrable requests are kept from the last slots.
    fn caps_deferrable(&self) -> bool;
}
