//! A complete system on the loopback interface: stand-ins, entries and planners.

mod options;
mod running;
mod settings;

pub(crate) use options::Options;
pub(crate) use running::{Cluster, Executions};
