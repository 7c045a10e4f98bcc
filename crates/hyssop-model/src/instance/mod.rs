//! Instances: the machines of the fleet, each running a backend server.

mod cause;
mod head;
mod record;
mod state;

pub use cause::Cause;
pub use head::Head;
pub use record::Record;
pub use state::State;

crate::arena_key!(
    /// The platform's number of an instance, the same in every process.
    Key
);
