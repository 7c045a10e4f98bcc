use super::{Order, Rank, WaitingRequest};
use hyssop_model::prelude::*;

/// Fair queueing: one lane for each flow, ordered by class and deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fair;

impl Order for Fair {
    fn lane(&self, waiting: &WaitingRequest) -> flow::Key {
        waiting.flow
    }

    fn rank(&self, waiting: &WaitingRequest, sequence: u64) -> Rank {
        Rank {
            class: waiting.class.index(),
            deadline: Some(waiting.deadline),
            sequence,
        }
    }

    fn caps_deferrable(&self) -> bool {
        true
    }
}
