//! Counters and histograms, as text at `/metrics` of the readiness address.

mod registry;

pub(crate) use registry::Metrics;
