use super::{Order, Rank, Waiting};
use hyssop_model::prelude::*;

/// Starts requests in the order of arrival: a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo;

impl Order for Fifo {
    fn lane(&self, _waiting: &Waiting) -> flow::Key {
        flow::Key(0)
    }

    fn rank(&self, _waiting: &Waiting, sequence: u64) -> Rank {
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
