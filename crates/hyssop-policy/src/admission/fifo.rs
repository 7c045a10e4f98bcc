use super::{Order, Rank, WaitingRequest};
use hyssop_model::prelude::*;

/// First in, first out over all flows. A baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo;

impl Order for Fifo {
    fn lane(&self, _waiting: &WaitingRequest) -> flow::Key {
        flow::Key(0)
    }

    fn rank(&self, _waiting: &WaitingRequest, sequence: u64) -> Rank {
        Rank {
            class: 0,
            deadline: None,
            sequence,
        }
    }

    fn caps_deferrable(&self) -> bool {
        false
    }
}
