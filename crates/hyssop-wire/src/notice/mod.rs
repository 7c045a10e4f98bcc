//! Messages about configuration versions and membership epochs.

mod config;
mod promise;

pub use config::Config;
pub use promise::Promise;
