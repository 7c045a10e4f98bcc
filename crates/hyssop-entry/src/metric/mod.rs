//! The entry's Prometheus metrics.

mod registry;

pub(crate) use registry::Metrics;
