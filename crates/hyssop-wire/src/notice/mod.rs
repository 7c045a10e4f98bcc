//! Notices of versions and epochs.

mod config;
mod promise;

pub use config::Config;
pub use promise::Promise;
