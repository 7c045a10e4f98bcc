//! Which instances are fit for requests.

mod board;
mod sample;
mod settings;
mod subject;

pub use board::Board;
pub use sample::Sample;
pub use settings::Settings;

pub(crate) use subject::Subject;
