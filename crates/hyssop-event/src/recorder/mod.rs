//! Recorder of a process's events.

mod ring;
mod stamp;

pub use ring::Recorder;
pub(crate) use stamp::HybridClock;
