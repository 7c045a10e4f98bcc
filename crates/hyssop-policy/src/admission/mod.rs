//! Admission and queueing: the order in which requests start, and why requests are refused.

mod fair;
mod fifo;
mod order;
mod priority;
mod queue;
mod refusal;
mod slot_usage;
mod waiting;

pub use fair::Fair;
pub use fifo::Fifo;
pub use order::{Order, Rank};
pub use priority::Priority;
pub use queue::Queue;
pub use refusal::{Reason, Refusal};
pub use slot_usage::SlotUsage;
pub use waiting::WaitingRequest;
