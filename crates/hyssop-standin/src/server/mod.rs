//! Many instances in one process, with their slots and connections enforced and over-use counted.

mod executed;
mod fault;
mod inspection;
mod instance;
mod listing;
mod process;
mod work;

pub use fault::Fault;
pub use inspection::InstanceView;
pub use process::{run, start, Options, Servers};

pub(crate) use executed::Executed;
pub(crate) use instance::Instance;
