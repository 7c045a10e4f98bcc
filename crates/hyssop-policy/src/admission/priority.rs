use super::{Order, Rank, Waiting};
use hyssop_model::prelude::*;

/// Starts the most urgent requests first, whoever sent them: a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Priority;

impl Order for Priority {
    fn lane(&self, _waiting: &Waiting) -> flow::Key {
        flow::Key(0)
    }

    fn rank(&self, waiting: &Waiting, sequence: u64) -> Rank {
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
