use super::{Order, Rank, WaitingRequest};
use hyssop_model::prelude::*;

/// Strict priority by class over all flows. A baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Priority;

impl Order for Priority {
    fn lane(&self, _waiting: &WaitingRequest) -> flow::Key {
        flow::Key(0)
    }

    fn rank(&self, waiting: &WaitingRequest, sequence: u64) -> Rank {
        Rank {
            class: waiting.class.index(),
            deadline: None,
            sequence,
        }
    }

    fn caps_deferrable(&self) -> bool {
        false
    }
}
