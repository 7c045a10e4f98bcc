//! How a program starts and what its exit code says.

mod start;

pub use start::{finish, Start, EXIT_USAGE};
