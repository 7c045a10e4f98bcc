//! The thread that polls the table service: lease, epochs, instance rows and configurations.

mod poll;
mod poller;

pub(crate) use poller::{new_write_id, Parts, Poller};
