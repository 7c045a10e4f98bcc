//! Prometheus metrics of the entry.

mod registry;

pub(crate) use registry::Metrics;
