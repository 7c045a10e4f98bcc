//! Which queued request starts next, and which is refused at once.

mod fair;
mod fifo;
mod order;
mod priority;
mod queue;
mod refusal;
mod view;
mod waiting;

pub use fair::Fair;
pub use fifo::Fifo;
pub use order::{Order, Rank};
pub use priority::Priority;
pub use queue::Queue;
pub use refusal::{Reason, Refusal};
pub use view::View;
pub use waiting::Waiting;
