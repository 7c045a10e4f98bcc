//! A stand-in for the backend servers: many instances in one process, which enforce their limits
//! of slots and connections and count the violations.

mod execution_counter;
mod fault;
mod inspection;
mod instance;
mod listing;
mod process;
mod work;

pub use fault::Fault;
pub use inspection::InstanceView;
pub use process::{run, start, Options, Servers};

pub(crate) use execution_counter::ExecutionCounter;
pub(crate) use instance::Instance;
