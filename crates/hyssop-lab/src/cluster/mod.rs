//! The whole system on loopback.

mod options;
mod running;
mod settings;

pub(crate) use options::Options;
pub(crate) use running::{Cluster, Executed};
