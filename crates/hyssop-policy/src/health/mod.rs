//! Health of instances: ejection and readmission by the results of requests and probes.

mod monitor;
mod sample;
mod settings;
mod target;

pub use monitor::Monitor;
pub use sample::Sample;
pub use settings::Settings;

pub(crate) use target::Target;
