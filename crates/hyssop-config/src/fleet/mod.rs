//! The fleet configuration applied by operators: defaults, pools, queues, teams and exceptions.

mod exception;
mod layout;
mod pool;
mod queue;
mod share;
mod team;

pub use exception::Exception;
pub use layout::Fleet;
pub use pool::Pool;
pub use queue::Queue;
pub use share::Share;
pub use team::Team;
