//! Start-up and exit codes shared by all programs.

mod program;

pub use program::{finish, Program, EXIT_USAGE};
