use super::{Order, Rank, Waiting};
use hyssop_model::prelude::*;

/// Gives each flow a lane, and orders a lane by class and deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fair;

impl Order for Fair {
    fn lane(&self, waiting: &Waiting) -> flow::Key {
        waiting.flow
    }

    fn rank(&self, waiting: &Waiting, sequence: u64) -> Rank {
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
