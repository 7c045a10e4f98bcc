use super::WaitingRequest;
use hyssop_model::prelude::*;

/// Sort key of a request within its lane. The lowest rank starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The index of the class, or 0 if the order ignores classes.
    pub class: usize,
    /// The deadline, or `None` if the order ignores deadlines.
    pub deadline: Option<Instant>,
    /// The position in the order of arrival.
    pub sequence: u64,
}

/// Queueing discipline: assigns requests to lanes and orders each lane.
pub trait Order: Send {
    /// Returns the lane of a request. Lanes share the slots by weight.
    fn lane(&self, waiting: &WaitingRequest) -> flow::Key;

    /// Returns the rank of a request within its lane.
    fn rank(&self, waiting: &WaitingRequest, sequence: u64) -> Rank;

    /// Returns whether the number of slots that deferrable requests use is limited.
    fn caps_deferrable(&self) -> bool;
}
