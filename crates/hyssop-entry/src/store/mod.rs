//! The thread that talks to the table service: leases, epochs, rows and configurations.

mod keeper;
mod poll;

pub(crate) use keeper::{write_id, Keeper, Parts};
