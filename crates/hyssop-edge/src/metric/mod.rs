//! Counters and histograms, served as text at `/metrics` on the readiness address.

mod forecasts;
mod intake;
mod registry;
mod rejections;

pub(crate) use forecasts::Forecasts;
pub(crate) use intake::Intake;
pub(crate) use registry::Metrics;
pub(crate) use rejections::Rejections;
