//! Which instances are fit for requests.

mod monitor;
mod sample;
mod settings;
mod subject;

pub use monitor::Monitor;
pub use sample::Sample;
pub use settings::Settings;

pub(crate) use subject::Subject;
