//! Counters and histograms, served as text at `/metrics` on the readiness address.

mod registry;

pub(crate) use registry::Metrics;
