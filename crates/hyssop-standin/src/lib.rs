//! Stand-ins for the platform and the backend servers, for tests and measurements.

pub mod platform;
pub mod server;
