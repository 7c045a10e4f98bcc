//! Start-up and exit codes shared by all programs.

mod start;

pub use start::{finish, Start, EXIT_USAGE};
